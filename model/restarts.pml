/* SPDX-License-Identifier: MIT
 *
 * A worker that restarts under the id that it had. Calls name the id alone, so a late call to a former incarnation is
 * carried out by the present one, which knows no run, no end and no fencing token of before. An incarnation is named by
 * the id and the start time, and start times are compared for equality only.
 *
 * One task. Worker A restarts at most twice. Worker B is always reachable and starts at once what it is ordered. Ends are
 * numbered from 1 in each incarnation, so an acknowledgement that another incarnation carries out may remove any of its
 * ends. Time is not modelled: a start in transit may be carried out at any time, or never. A listing is settled if no
 * start was in transit when its call was sent, and none was sent since. An implementation knows this of starts that were
 * answered, or sent longer ago than any call may be delayed.
 *
 * An agent takes a listing for settled for a start once the incarnation has outlived the start's deadline; for anything
 * else it does not wait. Owners add the platform's longest lease but not the delay of a call. So they rely on no call being
 * delayed over two restarts, the deadline of a start or a lease. Connections are not modelled; the
 * agents acknowledge only on one that the incarnation has answered on.
 *
 * Worker A may be cut off while it runs. The next incarnation may hold the longest lease then, from a call to a former
 * one. An owner counts it if it heard the first report of the incarnation, or is told by the agent. The model assumes that
 * an owner hears the agent of a living incarnation before the owner's own lease is over. An implementation does not know
 * that of an agent that is paused or cut off from a new owner.
 *
 * step            rule
 * hear            a heartbeat of another incarnation causes a probe: a listing call with the highest token so far
 * handle_probe    the agent switches if the answer names that incarnation and its token is above the one in use
 * handle_listing  a listing of another incarnation than the current one changes nothing
 * MAY_ACKNOWLEDGE only after a settled listing; later starts have a higher token than the acknowledgement
 * resolve         an unanswered start: a stop, and a settled listing without the run
 * MAY_REPORT      an incarnation is reported only after a settled listing; its first report is complete
 * handle_report   the owner places a run of the former incarnation on the reported one if the report names it; it
 *                 releases the others; each report tells whether the incarnation may hold the longest lease
 * expire          the owner releases a run when no lease is left, neither its own nor one that late calls may have given
 *                 to the next incarnation
 */

#ifndef RUNS
#define RUNS 2
#endif
#ifndef INCARNATIONS
#define INCARNATIONS 3  /* of worker A; they are numbered only to tell them apart */
#endif
#ifndef RARE
#define RARE 2          /* rare events of one execution, listed below */
#endif
#define ON_B 9

/* worker A */
byte life = 1;
byte at_work;           /* the run at work; 0: none */
byte closed;            /* the highest run that was stopped or has ended */
byte ended;             /* the listed run that has ended as done; 0: none */
bool ended_lapsed;      /* its lease has lapsed since, so that its acknowledgement proves nothing */
byte seen = 1;          /* the highest fencing token */

/* worker B */
byte at_work_b;

/* calls in transit to worker A: starts by run, and an acknowledging listing call that gets no answer; tokens, 0: none */
byte start_token[4];
byte late_token;
byte late_target;       /* the incarnation that the agent meant */
byte late_covers;       /* the run whose end is acknowledged; 0: only ends of other tasks */

/* answers in transit to the agent */
typedef answer
{
	byte token;         /* of the call; 0: no answer */
	byte target;        /* the incarnation that the agent meant */
	byte by;            /* the incarnation that answered, and its lists */
	byte running;
	byte done;
	bool settled        /* no start was in transit when the call was sent, and none was sent since */
};
answer listing;
answer probe[4];

/* the agent of worker A */
byte top = 1;           /* the highest token used; survives restarts, as tokens are times of a clock that advances */
byte token = 1;         /* the token in use */
byte current = 1;       /* the incarnation that it works with; 0: none */
bool listed = true;     /* a listing of that incarnation was handled */
bool settled = true;    /* the last one was settled, and no start was sent since */
byte known_at_work;
byte known_done;
byte unresolved;        /* runs whose start was sent, as a bit set */
byte refused;           /* the highest run that was refused */
bool refusal_due;
byte kept;              /* the run whose end is recorded */
bool acknowledged;      /* a call with the token in use acknowledged ends */
bool acknowledged_ever; /* a call to the current incarnation did */
bool report_due;
bool complete_due;

/* messages from the owner to the agent */
byte order_run;
byte order_life;
byte keep_run;          /* the end of this run is recorded */
byte keep_life;

/* the owner's rows */
byte run_number;        /* the latest run */
byte place;             /* the incarnation of A that it is on, or ON_B; 0: none */
bool task_done;
/* the rest of the owner */
byte reported = 1;      /* the incarnation that A's agent reported; 0: none */
byte recording;         /* an end that was acknowledged and is not recorded yet */
bool counts_longest;    /* it counts the longest lease for the reported incarnation */

/* limits of the model */
byte rare;              /* restarts of the agent or the owner, late heartbeats, lost answers, calls refused beside a probe */
bool others_acknowledged;

/* what must not happen */
bool followed;          /* a run has started after the end that is listed */
bool noted;             /* an end was acknowledged */

#define BIT(r) (1 << (r))
#define LOWER(x) x = (x > 0 -> x - 1 : 0)
/* nothing more can happen to the task */
#define FINISHED (task_done && !followed && at_work == 0 && order_run == 0 && NO_START_IN_TRANSIT)
#define NO_START_IN_TRANSIT (start_token[1] == 0 && start_token[2] == 0 && start_token[3] == 0)

/* The id alone names an incarnation. Each of the two variants checks one half of the properties. */
#ifdef NO_START_TIME_TWICE
#define ID_ALONE
#define PROGRESS(x) true
#else
#define PROGRESS(x) (x)
#endif
#ifdef NO_START_TIME_LOST
#define ID_ALONE
#define ONCE(x) true
#else
#define ONCE(x) (x)
#endif

#ifdef ID_ALONE
#define SAME(x, y) true
#define NAME_OF(x) 1
#else
#define SAME(x, y) ((x) == (y))
#define NAME_OF(x) (x)
#endif

inline check_start()
{
	assert(ONCE(at_work == 0 && at_work_b == 0));
	assert(ONCE(!noted));
	followed = followed || (ended != 0 && !ended_lapsed)
}

inline forget_ends()
{
	if
	:: ended != 0 && !ended_lapsed -> noted = true; assert(ONCE(!followed))
	:: else -> skip
	fi;
	ended = 0;
	followed = false;
	ended_lapsed = false
}

inline acknowledge(target, covers)
{
	if
	:: target == life && covers != 0 && covers == ended -> forget_ends()
	:: target != life -> forget_ends()
	:: target != life -> skip /* its ends have higher numbers */
	:: else -> skip
	fi
}

/* Only the order of tokens matters. */
inline lower_tokens()
{
	d_step {
		do
		:: token > 1 && top > 1 && seen != 1 && start_token[1] != 1 && start_token[2] != 1 && start_token[3] != 1 &&
			late_token != 1 && probe[1].token != 1 && probe[2].token != 1 && probe[3].token != 1 ->
			token--; top--;
			LOWER(seen); LOWER(start_token[1]); LOWER(start_token[2]); LOWER(start_token[3]);
			LOWER(late_token); LOWER(probe[1].token); LOWER(probe[2].token); LOWER(probe[3].token)
		:: else -> break
		od
	}
}

inline carry_out_start(r)
{
	if
	:: start_token[r] >= seen ->
		seen = start_token[r];
		if
		:: at_work != r && r > closed -> check_start(); at_work = r
		:: else -> skip
		fi
	:: else -> skip
	fi;
	start_token[r] = 0;
	lower_tokens()
}

inline carry_out_late()
{
	if
	:: late_token >= seen -> seen = late_token; acknowledge(late_target, late_covers)
	:: else -> skip
	fi;
	late_token = 0; late_target = 0; late_covers = 0;
	lower_tokens()
}

proctype worker_a()
{
	do
	:: atomic { start_token[1] != 0 -> carry_out_start(1) }
	:: atomic { start_token[2] != 0 -> carry_out_start(2) }
	:: atomic { start_token[3] != 0 -> carry_out_start(3) }
	:: atomic { late_token != 0 -> carry_out_late() }
	:: atomic {
		at_work != 0 ->
		closed = at_work; ended = at_work; ended_lapsed = false; at_work = 0
	}
	/* crash and restart */
	:: atomic {
		life < INCARNATIONS ->
		life++; at_work = 0; closed = 0; ended = 0; ended_lapsed = false; followed = false; seen = 0
	}
	od unless { FINISHED }
}

inline clear(x)
{
	x.token = 0; x.target = 0; x.by = 0; x.running = 0; x.done = 0; x.settled = false
}

/* A listing call that is carried out at once; its answer may be delayed. */
inline list(x, with, meant)
{
	if
	:: with >= seen ->
		seen = with;
		x.token = with; x.target = meant; x.by = life; x.running = at_work; x.done = ended;
		x.settled = NO_START_IN_TRANSIT
	:: else -> skip
	fi
}

#define LISTING_ANSWERED listing.token = (listing.token > 0 -> 1 : 0)

inline send_acknowledgement(r)
{
	acknowledged = true;
	acknowledged_ever = true;
	if
	:: token >= seen -> acknowledge(current, r); list(listing, token, current); LISTING_ANSWERED
	:: token < seen -> skip
	:: late_token == 0 -> late_token = token; late_target = current; late_covers = r
	fi
}

inline send_start(r)
{
	if
#ifndef NO_TOKEN_AFTER_ACKNOWLEDGEMENT
	:: acknowledged -> top++; token = top; acknowledged = false
#endif
	:: else -> skip
	fi;
	start_token[r] = token;
	unresolved = unresolved | BIT(r);
	settled = false;
	listing.settled = false;
#ifndef NO_START_AFTER_PROBE
	probe[1].settled = false; probe[2].settled = false; probe[3].settled = false
#endif
}

inline handle_lists(x)
{
	if
	:: known_at_work != x.running || known_done != x.done || !listed || (x.settled && !settled) -> report_due = true
	:: else -> skip
	fi;
	known_at_work = x.running;
	known_done = x.done;
#ifdef ID_ALONE
	/* its number may be among those that were acknowledged before the restart */
	if
	:: x.by != 1 && acknowledged_ever -> known_done = 0
	:: true -> skip
	fi;
#endif
	unresolved = unresolved & ~(BIT(x.running) | BIT(x.done));
	settled = x.settled;
	listed = true
}

inline handle_listing()
{
	if
	:: SAME(listing.target, current) && SAME(listing.by, current) -> handle_lists(listing)
	:: else -> skip
	fi;
	clear(listing)
}

inline begin(l)
{
	current = l;
	listed = false; settled = false;
	known_at_work = 0; known_done = 0; unresolved = 0; refused = 0; refusal_due = false; kept = 0;
	acknowledged = false; acknowledged_ever = false; report_due = false;
#ifdef NO_COMPLETE_REPORT
	complete_due = false
#else
	complete_due = true
#endif
}

/* The agent receives a heartbeat of incarnation l. */
inline hear(l)
{
#ifdef NO_CONFIRMING_LISTING
	begin(l);
	top++;
	token = top;
	listed = true; settled = true; report_due = true;
#else
#ifndef NO_FENCE_ACROSS_RESTARTS
	top++;
#endif
	list(probe[l], top, l);
#endif
	if
	:: l != life -> rare++
	:: else -> skip
	fi
}

#ifdef NO_FENCE_ACROSS_RESTARTS
#define ANY_ORDER
#endif
#ifdef NO_PROBE_ORDER
#define ANY_ORDER
#endif
#ifdef ANY_ORDER
#define IN_ORDER(l) true
#else
#define IN_ORDER(l) (probe[l].token > token)
#endif

inline handle_probe(l)
{
	if
	:: probe[l].by == l && current != l && IN_ORDER(l) -> begin(l); token = probe[l].token; handle_lists(probe[l])
	:: else ->
		if
		:: token < probe[l].token -> token = probe[l].token
		:: else -> skip
		fi
	fi;
	clear(probe[l]);
	lower_tokens()
}

#ifdef ID_ALONE
#define HEARS(l) (current == 0 && (l) == 1)
#else
#define HEARS(l) (probe[l].token == 0 && current != (l) && ((l) == life || ((l) < life && rare < RARE)))
#endif

#ifdef NO_SETTLED_ACKNOWLEDGEMENT
#define MAY_ACKNOWLEDGE true
#else
#define MAY_ACKNOWLEDGE settled
#endif

#ifdef NO_SETTLED_RELEASE
#define MAY_REFUSE(r) true
#else
#define MAY_REFUSE(r) (start_token[r] == 0)
#endif

#ifdef NO_SETTLED_REPORT
#define MAY_REPORT true
#else
#define MAY_REPORT (settled || reported == current)
#endif

#define NO_PROBE (probe[1].token == 0 && probe[2].token == 0 && probe[3].token == 0)
#define IDLE (listing.token == 0 && current != 0)
#define OUTDATED (SAME(life, current) && (at_work != known_at_work || ended != known_done))
#define UNRESOLVED(r) ((unresolved & BIT(r)) && listing.token == 0 && SAME(life, current) && token >= seen && known_at_work != (r) && known_done != (r) && MAY_REFUSE(r))

/* An unanswered start: a stop, and the listing after it. */
inline resolve(r)
{
	if
	:: closed < r -> closed = r
	:: else -> skip
	fi;
	if
	:: at_work == r -> at_work = 0
	:: else -> skip
	fi;
	unresolved = unresolved & ~BIT(r);
	known_at_work = at_work;
	known_done = ended;
	report_due = true;
	if
	:: ended == r -> skip
	:: else -> refused = (refused < r -> r : refused); refusal_due = true
	fi
}

#ifdef NO_START_TIME_IN_ORDER
#define MEANT_FOR(l, named) true
#else
#define MEANT_FOR(l, named) SAME(l, named)
#endif

inline handle_order()
{
	if
	:: current == 0 || !MEANT_FOR(current, order_life) -> skip
	:: else ->
		if
		:: order_run <= refused -> refusal_due = true; report_due = true
		:: order_run > refused && known_at_work != order_run && known_done != order_run && !(unresolved & BIT(order_run)) ->
			send_start(order_run)
		:: else -> skip
		fi
	fi;
	order_run = 0; order_life = 0
}

inline order(r, l)
{
	order_run = r; order_life = l
}

inline tell_recorded(r, l)
{
	keep_run = r; keep_life = l
}

/* The owner handles a report of incarnation l. */
inline handle_report(l)
{
	reported = l;
#ifndef NO_REPORTED_LEASE
	counts_longest = counts_longest || l != 1;
#endif
	if
	:: place != 0 && place != ON_B && place != l ->
		counts_longest = true;
		if
#ifndef NO_TAKEOVER_OF_LATE_RUNS
		:: (complete_due && known_at_work == run_number) || known_done == run_number -> place = l
#endif
		:: else -> place = 0
		fi
	:: else -> skip
	fi;
	if
	:: task_done || place != l ->
		if
		:: known_done != 0 -> tell_recorded(known_done, l)
		:: else -> skip
		fi
	:: else ->
		if
		:: refusal_due && refused == run_number -> place = 0
		:: known_done == run_number && !(refusal_due && refused == run_number) ->
#ifdef NO_KEEP_FIRST
			recording = run_number;
#else
			task_done = true;
#endif
			tell_recorded(known_done, l)
		:: complete_due && known_at_work != run_number && known_done != run_number && !(refusal_due && refused == run_number) ->
			order(run_number, l)
		:: else -> skip
		fi
	fi;
	report_due = false; complete_due = false; refusal_due = false
}

proctype agent()
{
	do
	:: atomic { HEARS(1) -> hear(1) }
	:: atomic { HEARS(2) -> hear(2) }
	:: atomic { HEARS(3) -> hear(3) }
	:: atomic { probe[1].token != 0 -> handle_probe(1) }
	:: atomic { probe[2].token != 0 -> handle_probe(2) }
	:: atomic { probe[3].token != 0 -> handle_probe(3) }
	:: atomic { probe[2].token != 0 && rare < RARE -> rare++; clear(probe[2]) }
	/* a refused token is replaced by the highest one */
	:: atomic { token < seen && current != 0 && NO_PROBE -> token = top }
	:: atomic { token < seen && current != 0 && !NO_PROBE && rare < RARE -> rare++; token = top }
	:: atomic { IDLE && (!listed || OUTDATED || (!settled && NO_START_IN_TRANSIT)) -> list(listing, token, current); LISTING_ANSWERED }
	:: atomic { listing.token != 0 -> handle_listing() }
	:: atomic { IDLE && kept != 0 && known_done == kept && MAY_ACKNOWLEDGE -> send_acknowledgement(kept) }
	:: atomic { IDLE && listed && !others_acknowledged && MAY_ACKNOWLEDGE -> others_acknowledged = true; send_acknowledgement(0) }
	:: atomic { order_run != 0 && start_token[order_run] == 0 -> handle_order() }
	:: atomic { UNRESOLVED(1) -> resolve(1) }
	:: atomic { UNRESOLVED(2) -> resolve(2) }
	:: atomic { UNRESOLVED(3) -> resolve(3) }
	/* a start is lost, or too old to be carried out */
	:: atomic { start_token[1] != 0 -> start_token[1] = 0; lower_tokens() }
	:: atomic { start_token[2] != 0 -> start_token[2] = 0; lower_tokens() }
	:: atomic { start_token[3] != 0 -> start_token[3] = 0; lower_tokens() }
	:: atomic { report_due && listed && keep_run == 0 && MAY_REPORT -> handle_report(NAME_OF(current)) }
	:: atomic {
		keep_run != 0 && order_run == 0 -> /* a link delivers in order */
		if
		:: current != 0 && SAME(keep_life, current) -> kept = keep_run
		:: else -> skip
		fi;
		keep_run = 0; keep_life = 0
	}
	/* restart: answers and messages are lost, calls to the worker are not */
	:: atomic {
		rare < RARE ->
		rare++;
		begin(0);
		top++;
		token = top;
		clear(listing); clear(probe[1]); clear(probe[2]); clear(probe[3]);
		order_run = 0; order_life = 0; keep_run = 0; keep_life = 0
	}
	od unless { FINISHED }
}

/* The lease of worker A ends, and with it all that runs there; a start in transit is too old. */
inline lapse()
{
	start_token[1] = 0; start_token[2] = 0; start_token[3] = 0;
	if
	:: closed < at_work -> closed = at_work
	:: else -> skip
	fi;
	at_work = 0;
	ended_lapsed = (ended != 0)
}

inline place_on(l)
{
	run_number++;
	place = l;
	if
	:: l == ON_B -> check_start(); at_work_b = run_number
	:: else -> order(run_number, l)
	fi
}

proctype owner()
{
	do
	:: atomic { place == 0 && !task_done && run_number < RUNS -> place_on(ON_B) }
	:: atomic { place == 0 && !task_done && run_number < RUNS && reported != 0 && order_run == 0 -> place_on(reported) }
#ifdef NO_KEEP_FIRST
	:: atomic {
		recording != 0 ->
		if
		:: recording == run_number && place != 0 -> task_done = true
		:: else -> skip
		fi;
		recording = 0
	}
#endif
	:: atomic { at_work_b != 0 -> at_work_b = 0; task_done = true; noted = true }
	/* expire: the incarnation has ended and the next one was not reported; the agent starts nothing without a lease */
	:: atomic {
		place != 0 && place != ON_B && !task_done && !SAME(place, life) && !SAME(reported, life) ->
#ifndef NO_LATE_LEASE
		lapse();
#endif
		order_run = 0; order_life = 0;
		reported = 0;
		place = 0
	}
	/* expire: worker A is cut off, and the lease that the owner counts is over */
	:: atomic {
		place != 0 && place != ON_B && !task_done && SAME(place, life) && SAME(reported, life) && rare < RARE ->
		rare++;
		if
		:: place == 1 || counts_longest -> lapse()
		:: else -> skip /* a late call may have given it a longer one */
		fi;
		order_run = 0; order_life = 0;
		place = 0
	}
	:: atomic {
		rare < RARE ->
		rare++;
		reported = 0;
		counts_longest = false;
		recording = 0;
		order_run = 0; order_life = 0; keep_run = 0; keep_life = 0;
		report_due = (current != 0); complete_due = true
	}
	od unless { FINISHED }
}

/* The task is done, or the model has no more runs and the last one was released. */
proctype progress()
{
	timeout -> assert(PROGRESS(task_done || (run_number == RUNS && place == 0)))
}

init
{
	atomic { run worker_a(); run agent(); run owner(); run progress() }
}
