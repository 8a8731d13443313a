/*
 * A lease with fencing, two contenders, and the engine that gets their orders.
 *
 * Every write to the row changes its counter. A contender may stand still between
 * any two steps while time goes on. Writes are lost, or take effect and lose
 * their answer. Time is counted in ticks that all clocks share; the drift margin
 * stands for what they differ by.
 *
 * Checked: never two contenders hold the lease by their own clocks, and the engine
 * never executes an order with a lower fencing number after one with a higher.
 *
 * ORDERS         adds orders, the agent and the engine, with fewer renewals.
 * HONOURS        the engine refuses old numbers; its agent passes all on and may
 *                die with an order in flight. Without it the engine ignores them
 *                and the agent is the guard.
 * AGENT_DIES     lets the agent of an engine that ignores numbers die with an
 *                order in flight. This breaks the order of execution; the agent
 *                covers it by reading the engine's digest back.
 * BROKEN_EXPIRY  counts the expiry from the answer of a renewal.
 * BROKEN_WAIT    takes the lease over one tick early.
 * BROKEN_FENCE   lets the agent pass every order on.
 * BROKEN_RESTART lets a new agent take orders before it reads the row.
 */

#define CONTENDERS 2
#define DURATION 2
#ifdef ORDERS
#define MAX_FENCING 2
#define MAX_COUNTER 3
#else
#define MAX_FENCING 3
#define MAX_COUNTER 5
#endif

#ifdef BROKEN_WAIT
#define WAIT (DURATION - 1)
#else
#define WAIT DURATION
#endif

byte rowHolder = 0;
byte rowFencing = 0;
byte rowCounter = 0;

/* Ticks left of the lease, and of one that was asked for; ticks for which the row
   was seen unchanged. Entry 0 is not used. */
byte valid[CONTENDERS + 1];
byte asked[CONTENDERS + 1];
byte waited[CONTENDERS + 1];

chan orders = [1] of { byte };
chan inFlight = [1] of { byte };
byte executed = 0;

inline hold(ticks) {
	valid[me] = ticks;
	assert(valid[1] == 0 || valid[2] == 0)
}

proctype Clock() {
	byte i;
end:
	do
	:: atomic {
			i = 1;
			do
			:: i <= CONTENDERS ->
				if :: valid[i] > 0 -> valid[i]-- :: else fi;
				if :: asked[i] > 0 -> asked[i]-- :: else fi;
				if :: waited[i] < DURATION -> waited[i]++ :: else fi;
				i++
			:: else -> break
			od;
			i = 0
		}
	od
}

/* forget clears what no later step reads, so that fewer states differ. */
inline forget() {
	atomic {
		seen = 0; wanted = 0; write = false; answered = false;
		if
		:: asked[me] == 0 -> nextCounter = 0; nextFencing = 0
		:: else
		fi;
		if
		:: valid[me] == 0 -> fencing = 0
		:: else -> watched = 0; waited[me] = 0
		fi
	}
}

/* decide reads the row, settles a write whose answer was lost and chooses what to
   write next: nextCounter stays 0 for nothing. */
inline decide() {
	atomic {
		if
		:: nextCounter != 0 && rowHolder == me && rowFencing == nextFencing && rowCounter == nextCounter ->
			fencing = nextFencing;
			hold(asked[me])
		:: else
		fi;
		seen = rowCounter;
		write = false;
		if
		:: valid[me] > 0 && rowHolder == me && rowFencing == fencing ->
			write = true; wanted = fencing
		:: (valid[me] == 0 || rowFencing != fencing) && (rowHolder == 0 || rowHolder == me) ->
			valid[me] = 0; write = true; wanted = rowFencing + 1
		:: rowHolder != 0 && rowHolder != me ->
			valid[me] = 0;
			if
			:: watched != rowCounter -> watched = rowCounter; waited[me] = 0
			:: watched == rowCounter && waited[me] >= WAIT -> write = true; wanted = rowFencing + 1
			:: else
			fi
		fi;
		if
		:: wanted > MAX_FENCING || seen == MAX_COUNTER -> write = false
		:: else
		fi
	}
}

/* request notes what is asked for before it is sent. A repeated write counts from
   the first send. */
inline request() {
	atomic {
		if
		:: nextFencing == wanted && nextCounter == seen + 1
		:: else -> nextFencing = wanted; nextCounter = seen + 1; asked[me] = DURATION
		fi
	}
}

inline send() {
	atomic {
		answered = false;
		if
		:: rowCounter == seen ->
			rowHolder = me; rowFencing = nextFencing; rowCounter = nextCounter;
			if
			:: answered = true
			:: skip   /* the answer is lost */
			fi
		:: skip   /* the write is lost, or conflicts */
		fi
	}
}

inline receive() {
	atomic {
		if
		:: answered ->
			fencing = nextFencing;
#ifdef BROKEN_EXPIRY
			hold(DURATION);
#else
			hold(asked[me]);
#endif
			nextCounter = 0; nextFencing = 0; asked[me] = 0
		:: else
		fi;
		forget()
	}
}

proctype Contender(byte me) {
	byte fencing, seen, watched, wanted, nextFencing, nextCounter, order;
	bool write, answered;
end:
	do
	:: decide();
		if
		:: write -> request(); send(); receive()
		:: else -> forget()
		fi
#ifdef ORDERS
	:: atomic { valid[me] > 0 -> order = fencing };
		/* Paused here, the order leaves after the lease is over. */
		atomic { nfull(orders) -> orders ! order; order = 0 }
#endif
	od
}

inline execute(number) {
	atomic {
		if
#ifdef HONOURS
		:: number < executed   /* refused by the engine */
#endif
		:: else -> assert(number >= executed); executed = number
		fi
	}
}

inline passOn(number) {
#ifdef HONOURS
	execute(number)
#else
	atomic { assert(number >= executed); executed = number }
#endif
}

/* RESTARTED is the highest number that a new agent knows of. */
#ifdef BROKEN_RESTART
#define RESTARTED 0
#else
#define RESTARTED rowFencing
#endif

#ifdef HONOURS
proctype Agent() {
	byte number;
end:
	do
	:: atomic { orders ? number ->
			if
			:: passOn(number)
			:: nfull(inFlight) -> inFlight ! number
			fi;
			number = 0
		}
	od
}
#else
proctype Agent() {
	byte highest, number;
end:
	do
	:: atomic { orders ? number ->
#ifndef BROKEN_FENCE
			if
			:: number < highest -> number = 0
			:: else -> highest = number
			fi
#endif
		};
		if
		:: number != 0 ->
			if
			:: passOn(number)
#ifdef AGENT_DIES
			:: atomic { nfull(inFlight) -> inFlight ! number }; highest = RESTARTED
#endif
			fi;
			number = 0
		:: else
		fi
	:: atomic { highest != RESTARTED -> highest = RESTARTED }   /* restarted while idle */
	od
}
#endif

/* An order that its agent did not live to see answered. */
proctype Engine() {
	byte number;
end:
	do
	:: atomic { inFlight ? number -> passOn(number); number = 0 }
	od
}

init {
	atomic {
		run Clock();
		run Contender(1);
		run Contender(2);
#ifdef ORDERS
		run Agent();
		run Engine()
#endif
	}
}
