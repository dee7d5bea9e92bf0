/* SPDX-License-Identifier: MIT
 *
 * jobs.pml with agents between owners and workers: a first order may be refused by the worker's answer, without a stop,
 * an owner repeats an order at any time, refusals and orders cross, agents and owners are replaced. A worker starts a run
 * beside another one of the task, so that two at once show. One task, two runs, two workers, two entries.
 *
 * step here       function that carries it
 * commit          job_term::commit: one transaction under the condition of the owner's row
 * order           job_term::act_on, order_start: after the transaction only; again after a full report
 * refuse          run_keeper::carry_out_start: the worker's answer says that a first order was not carried out
 * remember        run_keeper::answer_refused: a refused run is refused again, whatever order of it comes
 * settle          run_keeper::settle_start: a stop until it is answered, then a listing
 * note            job_term::note_ends, confirm: the end is kept before the worker may forget it
 * take over       job_owner::take_over, job_term::load
 */

#define RUNS 2
#define TAKEOVERS 3

byte epoch = 0;

/* in the store */
byte kept_run = 0;      /* the latest run */
byte kept_where = 0;    /* 1 or 2: the worker that has it; 0: none */
bool kept_done = false;

/* at the workers; index 0 is not used */
byte running[3];        /* the runs that run, as bits; a worker starts a run beside another one of the task */
byte closed[3];         /* the highest run that was stopped or has ended */
byte ended[3];          /* a run that has ended done and is listed; 0: none */

/* at the agents */
byte refused[3];        /* the highest run that was refused; forgotten with the process */
byte heard[3];          /* the highest epoch that claimed it; at first that of its beginning: it has no lease from before */
bool restarted[3];

/* on the way, as bits by run: first and repeated orders to an agent, its refusals, its calls to the worker */
byte firsts[3];
byte repeats[3];
byte told[3];
byte calls[3];

bool forgotten = false; /* a worker was told that the done end is kept */
bool done_once = false; /* some run has ended done */
bool again = false;     /* a run has started after that */

#define BIT(run) (1 << (run))

/* The claim of an owner: what was on the way to or from an earlier one is not taken any more. */
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
		/* never beside another run, here or there, never again after a done end was taken note of */
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
	/* a first order: no earlier one of its run can have been carried out, so the worker's refusal settles it */
	:: atomic {
		firsts[w] != 0 ->
		pick(firsts[w], r);
		firsts[w] = firsts[w] & ~BIT(r);
		if
		:: refuse(w, r)
		:: !REMEMBERS(w, r) -> calls[w] = calls[w] | BIT(r)
		fi
	}
	/* a repeated order is settled by a stop where the worker refuses it */
	:: atomic {
		(repeats[w] & ~firsts[w]) != 0 -> /* a link keeps the order */
		pick((repeats[w] & ~firsts[w]), r);
		repeats[w] = repeats[w] & ~BIT(r);
		if
		:: REMEMBERS(w, r) -> refuse(w, r)
		:: else -> calls[w] = calls[w] | BIT(r)
		fi
	}
	/* the next process: all that was on the way to and from the one before is lost, but for its calls */
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

/* A stop that was answered: the run is over there, and can never start there any more. */
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
		/* the other entry may come in between */
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
		/* ordered once more, as after a full report */
		repeats[where] = repeats[where] | BIT(latest)
	}
	:: atomic {
		mine == epoch && where != 0 && !done && mine == heard[where] && (told[where] & BIT(latest)) ->
		/* the refusal is read: the run is nowhere */
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
	/* an end that is not of the latest run changes nothing, and the worker may forget it; agents obey the newest owner */
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
