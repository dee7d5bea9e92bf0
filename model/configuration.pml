/* SPDX-License-Identifier: MIT
 *
 * Configuration: accepted is what the conditional write has taken; a version that was in force at a process never goes
 * back there, and two operators who race get one winner.
 *
 * step here       function that carries it
 * change          config_keeper::change (entry), change_config
 * take            config_keeper::take (entry), control_duty::take_config (agent)
 * restart         config_keeper::ask_peers: a fresh process serves nothing before a confirmed version
 */

#define VERSIONS 3

byte row = 0;             /* version of the row in the store */
byte accepted = 0;        /* the highest version that an operator was told of */
byte at[2];               /* in force at each process; 0: none yet */
byte high[2];             /* the highest that was ever in force at each, over its restarts */

proctype operator()
{
	byte read;
	do
	:: row < VERSIONS ->
		read = row;
		/* the other operator may come in between */
		atomic {
#ifdef NO_CONDITION
			row++;
#else
			if
			:: row == read -> row++
			:: else -> goto lost
			fi;
#endif
			/* one winner: the accepted change was made on the version that was read */
			assert(row == read + 1);
			accepted = row
		}
lost:		skip
	:: row >= VERSIONS -> break
	od
}

proctype process(byte p)
{
	byte heard;
	byte rounds = 0;
	do
	:: rounds < 4 ->
		rounds++;
		if
		/* from the store: its answer may be old by the time that it arrives */
		:: heard = row
		/* from a peer */
		:: heard = at[1 - p]
		fi;
		/* the delay between reading and applying is this step boundary */
		atomic {
#ifdef NO_VERSION_CHECK
			at[p] = heard;
#else
			if
			:: heard > at[p] -> at[p] = heard
			:: else
			fi;
#endif
			assert(at[p] >= high[p]);
			high[p] = at[p]
		}
	:: rounds >= 4 -> break
	od
}

init
{
	atomic {
		run operator(); run operator();
		run process(0); run process(1)
	}
}
