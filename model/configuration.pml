/* SPDX-License-Identifier: MIT
 *
 * Distribution of the configuration. A change is accepted by a conditional write. The version in force at a process never
 * decreases, and of two concurrent changes by operators exactly one is accepted.
 *
 * step            function that implements it
 * change          config_manager::change (entry), change_config
 * take            config_manager::apply_row (entry), control_duty::handle_config (agent)
 * restart         config_manager::read_from_peers: a new process serves nothing before it has a confirmed version
 */

#define VERSIONS 3

byte row = 0;             /* version of the row in the store */
byte accepted = 0;        /* the highest version that an operator got as accepted */
byte at[2];               /* version in force at each process; 0: none yet */
byte high[2];             /* the highest version that was ever in force at each process */

proctype operator()
{
	byte read;
	do
	:: row < VERSIONS ->
		read = row;
		/* steps of the other operator may interleave here */
		atomic {
#ifdef NO_CONDITION
			row++;
#else
			if
			:: row == read -> row++
			:: else -> goto lost
			fi;
#endif
			/* the accepted change is based on the version that was read, so only one of two concurrent changes succeeds */
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
		/* read from the store; the response may be outdated when it arrives */
		:: heard = row
		/* read from the other process */
		:: heard = at[1 - p]
		fi;
		/* this step boundary models the delay between reading and applying */
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
