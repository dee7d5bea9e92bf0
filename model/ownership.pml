/* SPDX-License-Identifier: MIT
 *
 * The core protocol: who owns a shard, who may start a run, and when the next run may start.
 *
 * Two entries, two workers, one shard with one task. Entry 0 owns the shard at first and entry 1 may take it over; by
 * then entry 0 may be dead, paused or cut off, at any step, and may wake up at any other. The rival's own lease is not
 * modelled, since nobody takes over from it. Time is a counter that ticks for everybody at once; a process that
 * is paused, or whose message is late, simply takes no step while it goes on. A message stays until the same sender
 * overwrites it, and may be received any number of times: late, repeated or never.
 *
 * Starts and grants go out under the same conditions, so one message stands for both: the agent takes it as a start
 * where nothing of the task is on the worker, as a grant where that run is.
 *
 * Each guard can be removed with -DNO_<GUARD>; tools/model --mutate does that for every one and wants a counterexample.
 *
 * step here                 function that carries it
 * renew                     member_keeper::renew, may_own, task_owner::step_down
 * take_over                 shard_keeper::take_over, has_lapsed
 * write (token, slot)       shard_keeper::write_batch, platform_client::put
 * send_start, send_grant    task_owner::send_start, task_owner::take_beat
 * accept_start              accept_start (run_table.cpp)
 * accept_grant              apply_grant (run_table.cpp)
 * pause                     lapse (run_table.cpp), platform lease P in the worker interface
 * fence, release            task_owner::fence_run, task_owner::release_fences
 * report, record_end        decide_sighting, apply (shard_state.cpp)
 */

/* Times in ticks. L and P are what the agent and the platform count, WAIT is what the owner waits: no margin, since the
 * clocks of the model run at one rate. */
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
#define LIVES 1          /* deaths of the first worker's agent */
#endif
#define NONE 9
#define RUNS 2

/* ---------------------------------------------------------------- the store: the shard's journal, as the last row that was written */

byte row_epoch = 1;      /* epoch of the last batch: 1 is entry 0's, 2 is entry 1's */
byte row_seq = 0;        /* version of the slot: a write is conditional on it */
byte row_run = 0;        /* the last run that was started */
byte row_worker = NONE;
byte row_life = 0;       /* the life of the agent that the run was given to */
bool row_active = false; /* the run holds the task */
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
/* a start is sent only to the life of the agent that the run was given to */
#define LIFE_KNOWN (life[known_worker] == known_life || run_here[known_worker] == known_run)
#endif
#ifdef NO_RUN_NUMBER
#define NUMBER_OK(m, w) true
#else
#define NUMBER_OK(m, w) (m.number > last_run[w])
#endif
#ifdef NO_FRESH_GRANT
/* without the stamp a late grant counts from its arrival */
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
byte renewed_at = 0;     /* when the member row of entry 0 last changed, as its rival sees it */

/* ---------------------------------------------------------------- workers: what the platform really runs */

bool moving[2];          /* the run moves: neither paused nor stopped */
byte run_here[2];        /* 0: nothing is on the worker */
byte lease_end[2];       /* as the agent counts */
byte platform_end[2];    /* as the platform counts */
byte epoch_seen[2];
byte last_run[2];        /* the agent's memory of run numbers; lost with the agent */
byte life[2];            /* incarnation of the agent */
bool ended_here[2];      /* ended, not acknowledged */
byte moved_run = 0;      /* the highest run that ever moved */
byte obeyed[2];          /* the newest epoch that was ever obeyed in this life of the agent */

/* ---------------------------------------------------------------- messages, by entry * 2 + worker */

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
	/* never two places */
	assert(!(moving[0] && moving[1]))
}

/* ---------------------------------------------------------------- time */

inline lapse_platform(w)
{
	/* The platform stops what was not renewed for P, on time: that is the platform's own promise. */
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

/* accept_start: possibly a late or a repeated one */
inline accept_start(m, w)
{
	/* no order of a deposed owner counts once its successor was heard */
	assert(m.epoch >= obeyed[w]);
	obeyed[w] = m.epoch;
	epoch_seen[w] = m.epoch;
	last_run[w] = m.number;
	run_here[w] = m.number;
	lease_end[w] = m.stamp + L;
	platform_end[w] = now + P;
	ended_here[w] = false;
	moving[w] = true;
	/* resumes at most once: no run starts twice, and none after a later one */
	assert(run_here[w] > moved_run);
	moved_run = run_here[w];
	check_two_places()
}

/* accept_grant: renews the lease from the agent's own stamp; a paused run goes on */
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
	/* renew the platform's lease while the run's own lease is held; a held pause is renewed too */
	:: atomic { now < TICKS && run_here[w] != 0 && platform_end[w] != now + P && MAY_RENEW(w) -> platform_end[w] = now + P }
	/* pause on lapse; an agent that is itself paused skips this, and the platform's lease does it */
	:: atomic { now < TICKS && moving[w] && now >= lease_end[w] -> moving[w] = false }
	/* the work ends */
	:: atomic { now < TICKS && moving[w] -> moving[w] = false; run_here[w] = 0; ended_here[w] = true }
	/* the agent dies and comes back: it has forgotten epochs and run numbers, and lists what is on the worker */
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
	byte renewed_before = 0;  /* the own lease counts from before the write */
	byte known_run = 0;
	byte known_worker = NONE;
	byte known_life = 0;
	bool known_active = false;
	bool known_fenced = false;
	byte wait_from = 0;       /* the later of fence and takeover */
	bool writing = false;     /* a start is on its way into the journal */
	do
	:: now >= TICKS -> break
	/* renew the member row. In the code the lease counts from before the write and the rival sees the row later: both make
	 * the overlap smaller than it is here. A renewal that comes after a lapse starts from nothing: the shard may be a
	 * rival's by now. */
	:: atomic {
		now < TICKS && owns && e == 0 && renewed_at != now ->
		if
		:: UNBROKEN
		:: else -> STEP_DOWN
		fi;
		renewed_at = now; renewed_before = now
	   }
	/* take_over: the owner's row has not changed for M and the margin */
	:: atomic {
		e == 1 && row_epoch == 1 && now < TICKS && RIVAL_LAPSED ->
		row_epoch++; row_seq++;
		owns = true; my_epoch = row_epoch; my_seq = row_seq;
		known_run = row_run; known_worker = row_worker; known_active = row_active; known_fenced = row_fenced;
		known_life = row_life; wait_from = now
	   }
	/* the owner learns that it was replaced: the token in the row is not its own */
	:: atomic {
		owns && row_seq != my_seq ->
#ifdef NO_TOKEN
		/* A lost answer cannot be told from a lost race: the entry takes the row for its own and goes on. */
		my_seq = row_seq
#else
		STEP_DOWN
#endif
	   }
	/* start: decided under the lease; the write may take effect much later, conditional on the slot; the record is durable
	 * before anything is sent. The workers are alike: run 1 goes to the first one. */
	:: atomic {
		OWNER && !known_active && !row_done && known_run < RUNS && MAY_OWN && !writing -> writing = true
	   }
	:: atomic {
		OWNER && writing && !SLOT_OK -> writing = false
	   }
	:: atomic {
		OWNER && writing && SLOT_OK ->
		/* a deposed owner writes nothing */
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
	/* send_start, send_grant, also again. The stamp is of this moment: an older one would only give a shorter lease, since
	 * the check of MAY_OWN comes after the stamp was received. */
	:: atomic {
		HOLDS && MAY_GRANT && MAY_OWN && LIFE_KNOWN ->
		order[e * 2 + known_worker].sent = true;
		order[e * 2 + known_worker].number = known_run;
		order[e * 2 + known_worker].epoch = my_epoch;
		order[e * 2 + known_worker].stamp = now;
		order[e * 2 + known_worker].life = life[known_worker]
	   }
	/* sighting: the run is on its worker in this life of the agent; written when the slot allows it */
	:: atomic {
		HOLDS && !known_fenced && row_seq == my_seq && run_here[known_worker] == known_run &&
		known_life != life[known_worker] ->
		row_seq++; my_seq = row_seq; row_life = life[known_worker]; known_life = row_life
	   }
	/* fence: durable first; the wait counts from then */
	:: atomic {
		HOLDS && !known_fenced && row_seq == my_seq ->
		row_seq++; my_seq = row_seq; row_fenced = true; known_fenced = true; wait_from = now
	   }
	/* release: nothing of the run can be left */
	:: atomic {
		HOLDS && known_fenced && row_seq == my_seq && now >= wait_from + WAIT ->
		row_seq++; my_seq = row_seq; row_active = false; row_fenced = false; known_active = false; known_fenced = false
	   }
	/* record_end: accepted only for the run that holds the task */
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
