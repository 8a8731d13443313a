/*
 * At most once for one idempotency key.
 *
 * A caller sends the key up to SENDS times, through any entries, without waiting
 * for the sends before. Each send is one process; where a process stops for good
 * its entry was killed, and where it goes on late its entry was frozen. Writes to
 * the claims row are refused, lose their answers, and may take effect long after
 * that. The agent refuses the attempt, runs it, or its answer is lost.
 *
 * Checked: the request runs at most once, and a send that was answered "not run"
 * stands for itself and all sends before it, of which none ran or will run.
 *
 * With BROKEN a repeat takes over a pending claim because its entry seems dead.
 */

#define SENDS 3
#define TRIES 2

mtype = { absent, pending, answered, unknown, notRun };
mtype = { ok, conflict, unavailable, lost };

mtype rowState = absent;
byte rowSend = 0;
byte rowVersion = 0;

byte runs = 0;
bool ran[SENDS + 1];
bool told[SENDS + 1];

/* Writes that are still on their way to the table. */
chan delayed = [1] of { byte, mtype, byte };

inline apply(version, state, number) {
	rowState = state;
	rowSend = number;
	rowVersion++
}

inline compareAndSet(version, state, number, result) {
	atomic {
		if
		:: rowVersion == version -> apply(version, state, number); result = ok
		:: rowVersion != version -> result = conflict
		:: result = unavailable
		:: rowVersion == version -> apply(version, state, number); result = lost
		:: result = lost
		:: nfull(delayed) -> delayed ! version, state, number; result = lost
		fi
	}
}

inline readRow(version, state, number, result) {
	atomic {
		if
		:: version = rowVersion; state = rowState; number = rowSend; result = ok
		:: result = unavailable
		fi
	}
}

/* tellNotRun gives the final answer "not run". */
inline tellNotRun() {
	atomic {
		told[n] = true;
		i = 1;
		do
		:: i <= n -> assert(!ran[i]); i++
		:: else -> break
		od;
		i = 0
	}
}

inline execute() {
	atomic {
		runs++;
		ran[n] = true;
		assert(runs <= 1);
		i = n;
		do
		:: i <= SENDS -> assert(!told[i]); i++
		:: else -> break
		od;
		i = 0
	}
}

/*
 * Send is one send of the key, number n. The caller was told "not run" for all
 * sends up to through.
 */
proctype Send(byte n; byte through) {
	byte i, tries, version, number;
	mtype state = absent;
	mtype result;
	mtype outcome;

	if
	:: n == 1 -> skip /* the first send writes without a read before it */
	:: else -> goto read
	fi;
judge:
	if
	:: state == absent -> goto claim
	:: state == pending && number == n -> goto dispatch
	:: state == answered || state == unknown -> goto finished
	:: state == notRun && n > number -> goto claim
	:: state == notRun && n <= number -> tellNotRun(); goto finished
	:: state == pending && number != n ->
		if
		:: number <= through && number < n -> goto claim
#ifdef BROKEN
		:: goto claim
#endif
		:: else -> goto finished
		fi
	fi;
claim:
	compareAndSet(version, pending, n, result);
	tries++;
	if
	:: result == ok -> version++; goto dispatch
	:: result == unavailable -> goto refuse
	:: result != ok && result != unavailable && tries < TRIES -> goto read
	:: result != ok && result != unavailable && tries >= TRIES -> goto refuse
	fi;
read:
	readRow(version, state, number, result);
	if
	:: result == ok -> goto judge
	:: else -> goto refuse
	fi;
refuse:
	/* Not dispatched, and never will be. */
	if
	:: through >= n - 1 -> tellNotRun()
	:: else -> skip
	fi;
	readRow(version, state, number, result);
	if
	:: result == ok && state == pending && number == n ->
		compareAndSet(version, notRun, n, result)
	:: result == ok && state == absent ->
		compareAndSet(version, notRun, n, result)
	:: result == ok && state == notRun && number <= n ->
		compareAndSet(version, notRun, n, result)
	:: result == ok && state == pending && number <= through && number < n ->
		compareAndSet(version, notRun, n, result)
	:: skip
	fi;
	goto finished;
dispatch:
	if
	:: execute(); outcome = answered
	:: execute(); outcome = unknown
	:: outcome = unknown
	:: outcome = notRun
	fi;
	compareAndSet(version, outcome, n, result);
	if
	:: outcome == notRun -> tellNotRun()
	:: else -> skip
	fi;
finished:
	atomic { i = 0; tries = 0; version = 0; number = 0; state = 0; result = 0; outcome = 0 }
}

/* Caller starts the sends, each at any time after the one before. */
active proctype Caller() {
	byte n = 1;
	byte through = 0;
	do
	:: n <= SENDS ->
		atomic {
			through = 0;
			do
			:: through + 1 < n && told[through + 1] -> through++
			:: else -> break
			od;
			run Send(n, through);
			n++
		}
	:: n > SENDS -> break
	od
}

/* Network brings delayed writes to the table. */
active proctype Network() {
	byte version, number;
	mtype state;
end:
	do
	:: atomic {
		delayed ? version, state, number;
		if
		:: rowVersion == version -> apply(version, state, number)
		:: else -> skip
		fi;
		version = 0; number = 0; state = 0
	}
	od
}
