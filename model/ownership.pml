/* SPDX-License-Identifier: MIT
 *
 * The core protocol: which entry owns a shard, which entry may start a run, and when the next run may start.
 *
 * Two entries, two workers, one shard with one task. Entry 0 owns the shard initially and entry 1 may take it over. Entry 0
 * may crash, pause or be partitioned at any step and may resume at any later step. The lease of entry 1 is not modelled,
 * since no entry takes over from it. Time is one counter for all processes; a process that is paused, or whose message is
 * late, takes no step while the counter advances. A message stays until the same sender overwrites it, and may be received
 * any number of times: late, repeatedly or never.
 *
 * Starts and lease grants are sent under the same conditions, so one message represents both: the agent treats it as a
 * start if the worker has no run of the task, and as a grant if the worker has that run.
 *
 * Each guard can be removed with -DNO_<GUARD>; tools/model --mutate does this for every guard and requires a counterexample.
 *
 * step                      function that implements it
 * renew                     member_keeper::renew, may_own, task_owner::step_down
 * take_over                 shard_journal::take_over, lease_expired
 * write (token, slot)       shard_journal::write_batch, platform_client::put
 * send_start, send_grant    task_owner::send_start, task_owner::handle_heartbeat
 * accept_start              accept_start (run_table.cpp)
 * accept_grant              apply_grant (run_table.cpp)
 * pause                     expire_leases (run_table.cpp), platform lease P in the worker interface
 * fence, release            task_owner::fence_run, task_owner::release_fences
 * report, record_end        decide_run_report, apply (shard_state.cpp)
 */

/* Durations in ticks. M is the lease of a member, L the lease of a run at its agent, P the lease at the platform, WAIT the
 * time that the owner waits after a fence. WAIT has no margin, since all clocks of the model run at the same rate. */
#define M 1
#define L 1
#define P 1
#ifndef TICKS
#define TICKS 6
#endif
#ifdef NO_FENCE_WAIT
#define WAIT 0
#else
#define WAIT (L + P)
#endif
#ifndef LIVES
#define LIVES 1          /* number of crashes of the first worker's agent */
#endif
#define NONE 9
#define RUNS 2

/* ---------------------------------------------------------------- the store: the last written row of the shard's journal */

byte row_epoch = 1;      /* epoch of the last batch: 1 for entry 0, 2 for entry 1 */
byte row_seq = 0;        /* version of the slot; writes are conditional on it */
byte row_run = 0;        /* the last run that was started */
byte row_worker = NONE;
byte row_life = 0;       /* incarnation of the agent to which the run was assigned */
bool row_active = false; /* the run is the task's current run */
bool row_fenced = false;
bool row_done = false;

/* ---------------------------------------------------------------- guards */

#ifdef NO_EPOCH_CHECK
#define EPOCH_OK(m, w) true
#else
#define EPOCH_OK(m, w) (m.epoch >= epoch_seen[w])
#endif
#ifdef NO_FRESH_START
#define START_FRESH(m) true
#else
#define START_FRESH(m) (now < m.stamp + L)
#endif
#ifdef NO_LIFE_CHECK
#define LIFE_OK(m, w) true
#else
#define LIFE_OK(m, w) (m.life == life[w])
#endif
#ifdef NO_LIFE_RECORD
#define LIFE_KNOWN true
#else
/* a start is sent only to the incarnation of the agent to which the run was assigned */
#define LIFE_KNOWN (life[known_worker] == known_life || run_here[known_worker] == known_run)
#endif
#ifdef NO_RUN_NUMBER
#define NUMBER_OK(m, w) true
#else
#define NUMBER_OK(m, w) (m.number > last_run[w])
#endif
#ifdef NO_FRESH_GRANT
/* without the stamp, the lease of a late grant counts from its arrival */
#define GRANTED_UNTIL(m) (now + L)
#else
#define GRANTED_UNTIL(m) (m.stamp + L)
#endif
#ifdef NO_AGENT_LEASE
#define MAY_RENEW(w) true
#else
#define MAY_RENEW(w) (now < lease_end[w] || !moving[w])
#endif
#ifdef NO_MEMBER_WAIT
#define RIVAL_LAPSED true
#else
#define RIVAL_LAPSED (now > renewed_at + M)
#endif
#ifdef NO_OWN_LEASE
#define MAY_OWN true
#else
#define MAY_OWN (e == 1 || now < renewed_before + M)
#endif
#ifdef NO_STEP_DOWN
#define UNBROKEN true
#else
#define UNBROKEN (now < renewed_before + M)
#endif
#ifdef NO_CONDITION
#define SLOT_OK true
#else
#define SLOT_OK (row_seq == my_seq)
#endif
#ifdef NO_FENCE_STOPS_GRANTS
#define MAY_GRANT true
#else
#define MAY_GRANT (!known_fenced)
#endif

/* ---------------------------------------------------------------- time and members */

byte now = 0;
byte renewed_at = 0;     /* when the member row of entry 0 last changed, in the view of entry 1 */

/* ---------------------------------------------------------------- workers: the actual state of the runs on the platform */

bool moving[2];          /* the run makes progress: neither paused nor stopped */
byte run_here[2];        /* run on the worker; 0: none */
byte lease_end[2];       /* end of the run's lease at the agent */
byte platform_end[2];    /* end of the lease at the platform */
byte epoch_seen[2];
byte last_run[2];        /* the highest run number known to the agent; lost when it crashes */
byte life[2];            /* incarnation of the agent */
bool ended_here[2];      /* a run has ended and its end is not acknowledged */
byte moved_run = 0;      /* the highest run that ever made progress */
byte obeyed[2];          /* the newest epoch that this incarnation of the agent obeyed */

/* ---------------------------------------------------------------- messages, indexed by entry * 2 + worker */

typedef message
{
	bool sent;
	byte number;
	byte epoch;
	byte stamp;
	byte life;
};
message order[4];

inline check_two_places()
{
	/* the task never runs on two workers */
	assert(!(moving[0] && moving[1]))
}

/* ---------------------------------------------------------------- time */

inline lapse_platform(w)
{
	/* The platform guarantees to stop a run in time if its lease was not renewed for P. */
	if
	:: run_here[w] != 0 && platform_end[w] < now -> moving[w] = false; run_here[w] = 0
	:: else
	fi
}

proctype clock()
{
	do
	:: atomic { now < TICKS -> now++; lapse_platform(0); lapse_platform(1) }
	:: now >= TICKS -> break
	od
}

/* ---------------------------------------------------------------- the agent of worker w */

/* accept_start: the message may be late or repeated */
inline accept_start(m, w)
{
	/* after a message of a new owner, no order of an earlier owner is obeyed */
	assert(m.epoch >= obeyed[w]);
	obeyed[w] = m.epoch;
	epoch_seen[w] = m.epoch;
	last_run[w] = m.number;
	run_here[w] = m.number;
	lease_end[w] = m.stamp + L;
	platform_end[w] = now + P;
	ended_here[w] = false;
	moving[w] = true;
	/* no run starts twice, and none after a later run has started */
	assert(run_here[w] > moved_run);
	moved_run = run_here[w];
	check_two_places()
}

/* accept_grant: renews the lease from the agent's own stamp; a paused run resumes */
inline accept_grant(m, w)
{
	assert(m.epoch >= obeyed[w]);
	obeyed[w] = m.epoch;
	epoch_seen[w] = (m.epoch > epoch_seen[w] -> m.epoch : epoch_seen[w]);
	lease_end[w] = (GRANTED_UNTIL(m) > lease_end[w] -> GRANTED_UNTIL(m) : lease_end[w]);
	if
	:: now < lease_end[w] -> moving[w] = true; check_two_places()
	:: else
	fi
}

#define STARTS(m, w) (m.sent && run_here[w] == 0 && EPOCH_OK(m, w) && START_FRESH(m) && LIFE_OK(m, w) && NUMBER_OK(m, w))
#define GRANTS(m, w) (m.sent && run_here[w] == m.number && run_here[w] != 0 && EPOCH_OK(m, w) && LIFE_OK(m, w))

proctype agent(byte w)
{
	do
	:: now >= TICKS -> break
	:: atomic { now < TICKS && STARTS(order[w], w) -> accept_start(order[w], w) }
	:: atomic { now < TICKS && STARTS(order[2 + w], w) -> accept_start(order[2 + w], w) }
	:: atomic { now < TICKS && GRANTS(order[w], w) -> accept_grant(order[w], w) }
	:: atomic { now < TICKS && GRANTS(order[2 + w], w) -> accept_grant(order[2 + w], w) }
	/* renew the platform's lease while the run's own lease is valid; the lease of a paused run is renewed too */
	:: atomic { now < TICKS && run_here[w] != 0 && platform_end[w] != now + P && MAY_RENEW(w) -> platform_end[w] = now + P }
	/* pause the run when its lease lapses; if the agent itself is paused, the platform's lease ends the run instead */
	:: atomic { now < TICKS && moving[w] && now >= lease_end[w] -> moving[w] = false }
	/* the run completes */
	:: atomic { now < TICKS && moving[w] -> moving[w] = false; run_here[w] = 0; ended_here[w] = true }
	/* the agent crashes and restarts: it has lost epochs and run numbers, and reads the run on the worker */
	:: atomic {
		now < TICKS && w == 0 && life[w] < LIVES ->
		life[w]++; epoch_seen[w] = 0; obeyed[w] = 0; last_run[w] = run_here[w]; ended_here[w] = false; lease_end[w] = now
	   }
	od
}

/* ---------------------------------------------------------------- the entry e */

#define STEP_DOWN \
	owns = false; my_epoch = 0; my_seq = 0; \
	known_run = 0; known_worker = NONE; known_life = 0; known_active = false; known_fenced = false; wait_from = 0; writing = false
#define OWNER (owns && now < TICKS)
#define HOLDS (OWNER && known_active && known_worker != NONE)

proctype entry(byte e)
{
	bool owns = (e == 0);
	byte my_epoch = (e == 0 -> 1 : 0);
	byte my_seq = 0;
	byte renewed_before = 0;  /* the entry's own lease counts from before the write */
	byte known_run = 0;
	byte known_worker = NONE;
	byte known_life = 0;
	bool known_active = false;
	bool known_fenced = false;
	byte wait_from = 0;       /* the later one of the times of the fence and of the takeover */
	bool writing = false;     /* a start is being written to the journal */
	do
	:: now >= TICKS -> break
	/* renew the member row. In the code the lease counts from before the write and the rival reads the row later; both make
	 * the overlap of ownership smaller than in the model. A renewal after a lapse drops all state, since the rival may own
	 * the shard by then. */
	:: atomic {
		now < TICKS && owns && e == 0 && renewed_at != now ->
		if
		:: UNBROKEN
		:: else -> STEP_DOWN
		fi;
		renewed_at = now; renewed_before = now
	   }
	/* take_over: the member row of the owner has not changed for longer than M */
	:: atomic {
		e == 1 && row_epoch == 1 && now < TICKS && RIVAL_LAPSED ->
		row_epoch++; row_seq++;
		owns = true; my_epoch = row_epoch; my_seq = row_seq;
		known_run = row_run; known_worker = row_worker; known_active = row_active; known_fenced = row_fenced;
		known_life = row_life; wait_from = now
	   }
	/* the owner detects that it was replaced: the token in the row is not its own */
	:: atomic {
		owns && row_seq != my_seq ->
#ifdef NO_TOKEN
		/* Without the token a lost response can't be distinguished from a lost race: the entry treats the row as its own. */
		my_seq = row_seq
#else
		STEP_DOWN
#endif
	   }
	/* start: decided while the lease is valid; the write may take effect much later, conditional on the slot; the record is
	 * durable before anything is sent. The workers are identical, so run 1 is assigned to the first one. */
	:: atomic {
		OWNER && !known_active && !row_done && known_run < RUNS && MAY_OWN && !writing -> writing = true
	   }
	:: atomic {
		OWNER && writing && !SLOT_OK -> writing = false
	   }
	:: atomic {
		OWNER && writing && SLOT_OK ->
		/* a replaced owner writes nothing */
		assert(my_epoch == row_epoch);
		writing = false;
		row_seq++; my_seq = row_seq;
		row_run = known_run + 1; row_active = true; row_fenced = false;
		if
		:: row_worker = 0; row_life = life[0]
		:: known_run > 0 -> row_worker = 1; row_life = life[1]
		fi;
		known_run = row_run; known_worker = row_worker; known_life = row_life; known_active = true; known_fenced = false
	   }
	/* send_start and send_grant, also repeatedly. The stamp is the current time: an older one would only shorten the lease,
	 * since MAY_OWN is checked after the stamp was received. */
	:: atomic {
		HOLDS && MAY_GRANT && MAY_OWN && LIFE_KNOWN ->
		order[e * 2 + known_worker].sent = true;
		order[e * 2 + known_worker].number = known_run;
		order[e * 2 + known_worker].epoch = my_epoch;
		order[e * 2 + known_worker].stamp = now;
		order[e * 2 + known_worker].life = life[known_worker]
	   }
	/* sighting: the run is on its worker under this incarnation of the agent; written if the slot is unchanged */
	:: atomic {
		HOLDS && !known_fenced && row_seq == my_seq && run_here[known_worker] == known_run &&
		known_life != life[known_worker] ->
		row_seq++; my_seq = row_seq; row_life = life[known_worker]; known_life = row_life
	   }
	/* fence: made durable first; the wait starts then */
	:: atomic {
		HOLDS && !known_fenced && row_seq == my_seq ->
		row_seq++; my_seq = row_seq; row_fenced = true; known_fenced = true; wait_from = now
	   }
	/* release: the run can no longer be active on any worker */
	:: atomic {
		HOLDS && known_fenced && row_seq == my_seq && now >= wait_from + WAIT ->
		row_seq++; my_seq = row_seq; row_active = false; row_fenced = false; known_active = false; known_fenced = false
	   }
	/* record_end: accepted only for the task's current run */
	:: atomic {
		HOLDS && ended_here[known_worker] && row_seq == my_seq && last_run[known_worker] == known_run ->
		row_seq++; my_seq = row_seq; row_active = false; row_done = true; known_active = false;
		ended_here[known_worker] = false
	   }
	od
}

init
{
	atomic {
		run clock();
		run agent(0); run agent(1);
		run entry(0); run entry(1)
	}
}
