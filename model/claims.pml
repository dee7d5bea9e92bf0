/* SPDX-License-Identifier: MIT
 *
 * Two entries that own the jobs in turn, and one agent, which forgets the highest epoch when it restarts. Its worker goes on. A
 * stop must not end a run that the present owner has placed.
 *
 * Time is not modelled: a lease ends at any moment, and a rival waits for its end, as tests of ownership.hpp check. A message is
 * dropped with its link. An order is decided and sent in one step, as job_term::send_order() reads the clock when it sends.
 *
 * step        function that implements it
 * take_over   job_owner::take_over, job_term::load
 * renew       job_term::commit: conditional on the row
 * release     job_term::release; the successor of a released row does not wait for the lease
 * claim       agent_peer::send_claim, owner_links::on_claim
 * start       job_term::on_committed: the run is stored first
 * stop        job_term::note_running, reconcile: a reported run that this owner has not placed
 * MAY_ORDER   job_term::may_order
 */

#define TAKEOVERS 3
#define RUNS 3
#define RESTARTS 2

#ifdef NO_LEASE_GATE
#define HOLDS_LEASE(i) true
#else
#define HOLDS_LEASE(i) lease[i]
#endif

#ifdef NO_RELEASE_GATE
#define HAS_RELEASED(i) false
#else
#define HAS_RELEASED(i) released[i]
#endif

#ifdef NO_TAKEOVER_WAIT
#define MAY_TAKE_OVER true
#else
#define MAY_TAKE_OVER (epoch == 0 || !lease[owner] || released[owner])
#endif

#define MAY_ORDER(i) (own_epoch[i] != 0 && HOLDS_LEASE(i) && !HAS_RELEASED(i))

/* the store; index 0 of each array is unused */
byte epoch;             /* of the latest takeover */
byte owner;             /* the entry that wrote the row last */
byte stored_run;        /* the latest run that was placed on the worker; 0: none */

/* the entries */
byte own_epoch[3];      /* of the entry's latest takeover; 0: none */
byte known_run[3];      /* the run that the entry has placed on the worker */
bool lease[3];
bool released[3];

/* the agent, its link and its worker */
byte seen_epoch;        /* the highest claim since the agent started */
byte linked;            /* the entry that the agent obeys; 0: none */
byte stop_run;          /* a stop in transit over that link; 0: none */
byte running;           /* the run on the worker; 0: none */
byte restarts;

proctype entry(byte me)
{
	do
	:: atomic { epoch < TAKEOVERS && owner != me && MAY_TAKE_OVER ->
		epoch++;
		owner = me;
		own_epoch[me] = epoch;
		known_run[me] = stored_run;
		lease[me] = true;
		released[me] = false
	}
	:: atomic { lease[me] -> lease[me] = false }
	:: atomic { owner == me && !lease[me] && !released[me] -> lease[me] = true }
	:: atomic { owner == me && !released[me] -> released[me] = true }
	:: atomic { MAY_ORDER(me) && linked != me && own_epoch[me] >= seen_epoch ->
		linked = me;
		seen_epoch = own_epoch[me];
		stop_run = 0
	}
	:: atomic { MAY_ORDER(me) && owner == me && linked == me && running == 0 && stored_run < RUNS ->
		stored_run++;
		known_run[me] = stored_run;
		running = stored_run
	}
	:: atomic { MAY_ORDER(me) && linked == me && running != 0 && known_run[me] != running && stop_run == 0 ->
		stop_run = running
	}
	od
}

proctype agent()
{
	do
	:: atomic { stop_run != 0 ->
		assert(running != stop_run || known_run[owner] != running);
		if
		:: running == stop_run -> running = 0
		:: else -> skip
		fi;
		stop_run = 0
	}
	:: atomic { running != 0 -> running = 0 }
	:: atomic { restarts < RESTARTS -> restarts++; seen_epoch = 0; linked = 0; stop_run = 0 }
	od
}

init
{
	atomic { run entry(1); run entry(2); run agent() }
}
