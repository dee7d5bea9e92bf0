/* SPDX-License-Identifier: MIT
 *
 * Extends jobs.pml by agents between owners and workers. The worker's response may refuse a first order without a stop,
 * an owner may repeat an order at any time, refusals and orders may cross, and agents and owners may be replaced. A worker
 * accepts a run while another run of the task is active, so that concurrent runs are detected. One task, two runs, two
 * workers, two entries.
 *
 * step            function that implements it
 * commit          job_term::commit: one transaction, conditional on the owner's row
 * order           job_term::on_committed, order_start: only after the transaction; repeated after a full report
 * refuse          run_manager::carry_out_start: the worker's response says that a first order was not carried out
 * remember        run_manager::handle_refused_run: every later order of a refused run is refused too
 * settle          run_manager::resolve_start: repeats a stop until its response, then lists the runs
 * note            job_term::note_ends, confirm: the end is recorded before the worker may forget it
 * take over       job_owner::take_over, job_term::load
 */

#define RUNS 2
#define TAKEOVERS 3

byte epoch = 0;

/* rows in the store */
byte kept_run = 0;      /* the latest run that was ordered */
byte kept_where = 0;    /* the worker of that run, 1 or 2; 0: none */
bool kept_done = false;

/* state of the workers; index 0 is unused */
byte running[3];        /* active runs as a bit set; a worker accepts a run while another one is active */
byte closed[3];         /* the highest run that was stopped or has ended */
byte ended[3];          /* the listed run that has ended as done; 0: none */

/* state of the agents */
byte refused[3];        /* the highest run that was refused; lost when the agent restarts */
byte heard[3];          /* the highest epoch that claimed the agent; initially the epoch at its start, as older owners gave it no lease */
bool restarted[3];

/* in transit, as bit sets of runs: first and repeated orders to an agent, its refusals, its calls to the worker */
byte firsts[3];
byte repeats[3];
byte told[3];
byte calls[3];

bool forgotten = false; /* a worker was told that the end is recorded and may forget it */
bool done_once = false; /* some run has ended as done */
bool again = false;     /* a run has started after another one had ended as done */

#define BIT(run) (1 << (run))

/* An owner claims an agent: messages to and from earlier owners are discarded. */
inline claim(w, e)
{
	if
	:: e > heard[w] -> heard[w] = e; firsts[w] = 0; repeats[w] = 0; told[w] = 0
	:: else -> skip
	fi
}

inline pick(bits, r)
{
	if
	:: (bits & BIT(1)) -> r = 1
	:: (bits & BIT(2)) -> r = 2
	:: (bits & BIT(3)) -> r = 3
	fi
}

inline deliver_call(w, r)
{
	calls[w] = calls[w] & ~BIT(r);
	if
	:: r > closed[w] && !(running[w] & BIT(r)) ->
		/* no concurrent run on either worker, and no start after a recorded end */
		assert(running[w] == 0 && running[3 - w] == 0);
		assert(!forgotten);
		again = again || done_once;
		running[w] = running[w] | BIT(r)
	:: else -> skip
	fi
}

inline refuse(w, r)
{
	told[w] = told[w] | BIT(r);
	if
	:: refused[w] < r -> refused[w] = r
	:: else -> skip
	fi
}

#ifdef NO_REFUSAL_MEMORY
#define REMEMBERS(w, r) false
#else
#define REMEMBERS(w, r) (r <= refused[w])
#endif

proctype worker(byte w)
{
	byte r;
	do
	:: atomic { calls[w] != 0 -> pick(calls[w], r); deliver_call(w, r) }
	:: atomic {
		running[w] != 0 ->
		pick(running[w], r);
		running[w] = running[w] & ~BIT(r);
		if
		:: closed[w] < r -> closed[w] = r
		:: else -> skip
		fi;
		ended[w] = r;
		done_once = true
	}
	od
}

proctype agent(byte w)
{
	byte r;
	do
	/* a first order: no earlier order of its run can have been carried out, so the worker's refusal is final */
	:: atomic {
		firsts[w] != 0 ->
		pick(firsts[w], r);
		firsts[w] = firsts[w] & ~BIT(r);
		if
		:: refuse(w, r)
		:: !REMEMBERS(w, r) -> calls[w] = calls[w] | BIT(r)
		fi
	}
	/* a repeated order that the worker refuses is resolved by a stop */
	:: atomic {
		(repeats[w] & ~firsts[w]) != 0 -> /* a link delivers in order */
		pick((repeats[w] & ~firsts[w]), r);
		repeats[w] = repeats[w] & ~BIT(r);
		if
		:: REMEMBERS(w, r) -> refuse(w, r)
		:: else -> calls[w] = calls[w] | BIT(r)
		fi
	}
	/* restart of the agent: all messages in transit to and from the old process are lost, except its calls to the worker */
	:: atomic {
		!restarted[w] ->
		restarted[w] = true;
		heard[w] = epoch;
		firsts[w] = 0;
		repeats[w] = 0;
		told[w] = 0;
		refused[w] = 0
	}
	od
}

/* A stop whose response was received: the run has ended on this worker and can't start there again. */
inline stop(w, r)
{
	running[w] = running[w] & ~BIT(r);
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
		firsts[next] = firsts[next] | BIT(latest + 1);
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
		atomic {
			if
			:: mine >= heard[where] -> claim(where, mine); firsts[where] = firsts[where] | BIT(latest)
			:: else -> skip
			fi
		}
	:: atomic {
		where != 0 && !done && mine >= heard[where] ->
		claim(where, mine);
		/* repeats the order, as after a full report */
		repeats[where] = repeats[where] | BIT(latest)
	}
	:: atomic {
		mine == epoch && where != 0 && !done && mine == heard[where] && (told[where] & BIT(latest)) ->
		/* the owner receives the refusal: the run is on no worker */
		told[where] = told[where] & ~BIT(latest);
		kept_where = 0;
		where = 0
	}
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
	atomic { run worker(1); run worker(2); run agent(1); run agent(2); run entry(); run entry() }
}
