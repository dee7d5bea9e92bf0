/* SPDX-License-Identifier: MIT
 *
 * One task of a job, two workers, and two entries that alternately own the jobs. An order is delivered at any time, once
 * or never; responses may be lost. Time is not modelled: tests of run_lease.hpp check that a lease ends in the owner's view
 * only after it has ended on the worker.
 *
 * step            function that implements it
 * commit          job_term::commit: one transaction, conditional on the owner's row
 * order           job_term::on_committed, order_start: only after the transaction
 * settle          run_manager::resolve_start: repeats a stop until its response, then lists the runs
 * note            job_term::note_ends, confirm: the end is recorded before the worker may forget it
 * take over       job_owner::take_over, job_term::load
 */

#define RUNS 3
#define TAKEOVERS 3

byte epoch = 0;

/* rows in the store */
byte kept_run = 0;      /* the latest run that was ordered */
byte kept_where = 0;    /* the worker of that run, 1 or 2; 0: none */
bool kept_done = false;

/* state of the workers; index 0 is unused */
byte running[3];        /* the active run; 0: none */
byte closed[3];         /* the highest run that was stopped or has ended */
byte ended[3];          /* the listed run that has ended as done; 0: none */

/* starts in transit to a worker, as a bit set of runs */
byte starts[3];

bool forgotten = false; /* a worker was told that the end is recorded and may forget it */
bool done_once = false; /* some run has ended as done */
bool again = false;     /* a run has started after another one had ended as done */

#define BIT(run) (1 << (run))

inline deliver_start(w, r)
{
	starts[w] = starts[w] & ~BIT(r);
	if
	:: running[w] == 0 && r > closed[w] ->
		/* no concurrent run on the other worker, and no start after a recorded end */
		assert(running[3 - w] == 0);
		assert(!forgotten);
		again = again || done_once;
		running[w] = r
	:: else -> skip
	fi
}

proctype worker(byte w)
{
	byte r;
	do
	:: atomic {
		starts[w] != 0 ->
		if
		:: (starts[w] & BIT(1)) -> r = 1
		:: (starts[w] & BIT(2)) -> r = 2
		:: (starts[w] & BIT(3)) -> r = 3
		fi;
		deliver_start(w, r)
	}
	:: atomic { running[w] != 0 -> closed[w] = running[w]; ended[w] = running[w]; running[w] = 0; done_once = true }
	od
}

/* A stop whose response was received: the run has ended on this worker and can't start there again. */
inline stop(w, r)
{
	if
	:: running[w] == r -> running[w] = 0
	:: else -> skip
	fi;
	if
	:: closed[w] < r -> closed[w] = r
	:: else -> skip
	fi
}

proctype entry()
{
	byte mine, latest, where, next;
	bool done, mine_still;
takeover:
	atomic {
		epoch < TAKEOVERS ->
		epoch++;
		mine = epoch;
		latest = kept_run;
		where = kept_where;
		done = kept_done
	}
	do
	:: where == 0 && !done && latest < RUNS ->
		if
		:: next = 1
		:: next = 2
		fi;
#ifdef NO_DURABLE_START
		starts[next] = starts[next] | BIT(latest + 1);
#endif
		/* steps of the other entry may interleave here */
		atomic {
#ifdef NO_FENCE
			mine_still = true;
#else
			mine_still = (mine == epoch);
#endif
			if
			:: mine_still -> kept_run = latest + 1; kept_where = next
			:: else -> goto takeover
			fi;
			latest++;
			where = next
		}
		starts[where] = starts[where] | BIT(latest)
	:: where != 0 && !done ->
		/* repeats the order, as after a full report */
		starts[where] = starts[where] | BIT(latest)
	:: where != 0 && !done && ended[where] == latest ->
#ifdef NO_KEEP_FIRST
		atomic { ended[where] = 0; forgotten = true }
#endif
		atomic {
			if
			:: mine == epoch -> kept_done = true; done = true
			:: else -> goto takeover
			fi
		}
		atomic { ended[where] = 0; forgotten = true; assert(!again) }
	:: where != 0 && !done ->
#ifndef NO_STOP
		atomic { stop(where, latest) }
#endif
#ifndef NO_LISTING
		if
		:: ended[where] == latest -> goto listed
		:: else -> skip
		fi;
#endif
		atomic {
			if
			:: mine == epoch -> kept_where = 0; where = 0
			:: else -> goto takeover
			fi
		}
listed:		skip
	/* the end of an older run changes nothing, and the worker may forget it; agents obey only the newest owner */
	:: atomic { mine == epoch && ended[1] != 0 && (where != 1 || ended[1] != latest) -> ended[1] = 0; forgotten = true; assert(!again) }
	:: atomic { mine == epoch && ended[2] != 0 && (where != 2 || ended[2] != latest) -> ended[2] = 0; forgotten = true; assert(!again) }
	:: mine != epoch -> goto takeover
	:: done -> break
	od
}

init
{
	atomic { run worker(1); run worker(2); run entry(); run entry() }
}
