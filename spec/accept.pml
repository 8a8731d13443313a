/*
 * Acceptance of changes and their spread.
 *
 * Two operators submit a change each, up to TRIES times under the same change ID
 * and base revision, through entries that may be killed at any step. A write to
 * the table is refused, takes effect, takes effect and loses its answer, or takes
 * effect at any later time. Pushes may be lost, repeated and delivered at any
 * later time, old revisions included. Nodes also poll the table and compare with
 * each other.
 *
 * Checked: no revision has two changes; no node goes back; equal revisions are
 * equal changes; "accepted" is told only of an accepted change and "failed" only
 * of one that never is; and at the end the head is in force on every node.
 *
 * BROKEN_LOST  tells "failed" when an answer was lost.
 * BROKEN_WRITE writes without comparing the head.
 * BROKEN_APPLY applies whatever revision arrives.
 * BROKEN_POLL  leaves the spread to pushes and comparisons alone.
 */

#define CHANGES 2
#define NODES 2
#define TRIES 2

mtype = { nothing, accepted, failed, unknown };
mtype = { ok, conflict, refused, lost };

/* The table: the head, the change at each revision and the changes' own rows. */
byte head = 0;
byte changeAt[CHANGES + 2];
bool changeRow[CHANGES + 1];

mtype told[CHANGES + 1] = nothing;

/* Revisions that were pushed at some time, and writes still under way. */
bool pushed[CHANGES + 2];
chan delayed = [1] of { byte, byte };

byte inForce[NODES];
byte changeInForce[NODES];
byte submitting = CHANGES;

inline write(change, base) {
	head = base + 1;
	assert(changeAt[head] == 0);
	changeAt[head] = change;
	changeRow[change] = true;
	assert(told[change] != failed)
}

#ifdef BROKEN_WRITE
#define MAY_WRITE(change, base) (!changeRow[change])
#else
#define MAY_WRITE(change, base) (head == base && !changeRow[change])
#endif

inline commit(change, base, result) {
	atomic {
		if
		:: MAY_WRITE(change, base) -> write(change, base); result = ok
		:: MAY_WRITE(change, base) -> write(change, base); result = lost
		:: !MAY_WRITE(change, base) -> result = conflict
		:: result = refused
		:: result = lost
		:: nfull(delayed) -> delayed ! change, base; result = lost
		fi
	}
}

proctype Delayed() {
	byte change, base;
end:
	do
	:: atomic {
			delayed ? change, base ->
			if
			:: MAY_WRITE(change, base) -> write(change, base)
			:: else
			fi
		}
	od
}

inline tell(outcome) {
	atomic {
		told[change] = outcome;
		assert(outcome != accepted || changeRow[change]);
		assert(outcome != failed || !changeRow[change])
	}
}

/* settle reads the change's own row after a lost answer or a conflict. A conflict
   without the row is final: the head left the base and never returns to it. */
inline settle() {
	if
	:: atomic { changeRow[change] -> tell(accepted) }
	:: atomic { !changeRow[change] && result == conflict -> tell(failed) }
	:: atomic { !changeRow[change] && result == lost ->
#ifdef BROKEN_LOST
			tell(failed)
#else
			tell(unknown)
#endif
		}
	:: tell(unknown)
	fi
}

proctype Submit(byte change) {
	byte base, tries;
	mtype result;

	base = head;
	do
	:: tries < TRIES && told[change] != accepted && told[change] != failed ->
		tries++;
		if
		:: atomic { changeRow[change] -> tell(accepted) }
		:: else ->
			commit(change, base, result);
			if
			:: result == ok ->
				if
				:: tell(accepted); pushed[base + 1] = true
				:: pushed[base + 1] = true
				:: skip   /* killed before it pushed or told */
				fi
			:: result == conflict || result == lost -> settle()
			:: result == refused   /* not written; an earlier try may be */
			fi
		fi
	:: else -> break
	od;
	submitting--
}

inline apply(revision) {
	atomic {
		if
#ifdef BROKEN_APPLY
		:: true ->
#else
		:: revision > inForce[node] ->
#endif
			assert(revision > inForce[node]);
			inForce[node] = revision;
			changeInForce[node] = changeAt[revision];
			assert(inForce[0] != inForce[1] || changeInForce[0] == changeInForce[1])
		:: else
		fi;
		got = 0
	}
}

proctype Node(byte node) {
	byte got;

	do
	:: atomic { pushed[1] -> got = 1 }; apply(got)
	:: atomic { pushed[2] -> got = 2 }; apply(got)
	:: atomic { inForce[1 - node] > inForce[node] -> got = inForce[1 - node] }; apply(got)
#ifndef BROKEN_POLL
	:: atomic { head > inForce[node] -> got = head }; apply(got)
#endif
	:: atomic { submitting == 0 && empty(delayed) && inForce[node] == head -> break }
	od
}

init {
	atomic {
		run Delayed();
		run Submit(1);
		run Submit(2);
		run Node(0);
		run Node(1)
	}
}
