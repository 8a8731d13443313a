/*
 * A copy of the operators' table while the store comes back from older copies of
 * itself.
 *
 * The store counts versions with each write, to the row of the configuration or to
 * another row. Up to RETURNS times it comes back from a copy that it made at any time
 * before: its version goes back, versions are given out again, and its era rises. The
 * operators then write the newest configuration again, and may write newer ones. An
 * entry lists the table and follows its changes. Answers describe the store at the
 * time of the call, and arrive at any later time, also after later answers.
 *
 * Checked: the configuration in force never goes back, nor does the copy's era; a copy at
 * the store's position has the store's row; and at the end the newest configuration is in
 * force.
 *
 * BROKEN_ERA    compares versions without their era.
 * BROKEN_LATE   takes an answer of an earlier era for a newer one.
 * BROKEN_CHANGE merges changes into a copy of another era.
 * BROKEN_FORCE  puts in force whatever the copy has.
 */

#define RETURNS 2
#define CONFIGURATIONS 2
#define VERSIONS 4
#define UNDERWAY 2

/* The store: its position, and the configuration with the version of its row. */
byte era = 1;
byte version = 1;
byte stored = 1;
byte storedAt = 1;

/* The oldest version whose changes the store has: that of the last return. */
byte floor = 1;

/* What a later return brings back. */
byte copyVersion = 1;
byte copyStored = 1;
byte copyStoredAt = 1;

byte newest = 1;
byte returns = 0;

/* The entry's copy of the table, and the configuration in force. */
byte ownEra = 0;
byte ownVersion = 0;
byte own = 0;
byte inForce = 0;
bool mustList = true;

/* Answers under way: whole table or changes, since (era and version), era, version, row, its version. */
chan answers = [UNDERWAY] of { bool, byte, byte, byte, byte, byte, byte };

/* Calls the store: a list, or the changes since the copy's version. */
inline call() {
	if
	:: mustList || ownEra == 0 -> answers!true, ownEra, ownVersion, era, version, stored, storedAt
	:: else ->
		if
		:: ownVersion < floor || ownVersion > version -> mustList = true
		:: else -> answers!false, ownEra, ownVersion, era, version, stored, storedAt
		fi
	fi
}

#ifdef BROKEN_ERA
#define EARLIER(e, v) ((v) < ownVersion)
#define OTHER_ERA(e, s) false
#else
#ifdef BROKEN_LATE
#define EARLIER(e, v) ((e) == ownEra && (v) < ownVersion)
#else
#define EARLIER(e, v) ((e) < ownEra || (e) == ownEra && (v) < ownVersion)
#endif
#ifdef BROKEN_CHANGE
#define OTHER_ERA(e, s) false
#else
#define OTHER_ERA(e, s) ((e) != ownEra || (s) != ownEra)
#endif
#endif

inline putInForce() {
#ifndef BROKEN_FORCE
	if
	:: own > inForce -> inForce = own
	:: else
	fi
#else
	assert(own >= inForce);
	inForce = own
#endif
}

/* The answer that has arrived. */
bool whole;
byte sinceEra, sinceVersion, anEra, aVersion, aRow, aRowAt;

/* Values that are of no use any more would only multiply the states. */
inline forget() {
	whole = false; sinceEra = 0; sinceVersion = 0; anEra = 0; aVersion = 0; aRow = 0; aRowAt = 0
}

/* Merges an answer into the copy. Changes up to the copy's version are no news. */
inline merge() {
	if
	:: EARLIER(anEra, aVersion)
	:: !EARLIER(anEra, aVersion) && whole ->
		assert(anEra >= ownEra);
		ownEra = anEra; ownVersion = aVersion; own = aRow; mustList = false
	:: !EARLIER(anEra, aVersion) && !whole && OTHER_ERA(anEra, sinceEra) -> mustList = true
	:: !EARLIER(anEra, aVersion) && !whole && !OTHER_ERA(anEra, sinceEra) ->
		if
		:: aRowAt > ownVersion && aRowAt > sinceVersion -> own = aRow
		:: else
		fi;
		ownEra = anEra; ownVersion = aVersion
	fi;
	assert(!(ownEra == era && ownVersion == version) || own == stored);
	putInForce();
	forget()
}

active proctype Store() {
	do
	:: atomic { version < VERSIONS && newest < CONFIGURATIONS && stored == newest ->
		version++; newest++; stored = newest; storedAt = version }
	:: atomic { version < VERSIONS && stored < newest ->
		version++; stored = newest; storedAt = version }
	:: atomic { version < VERSIONS -> version++ }
	:: atomic { returns < RETURNS && copyVersion < version ->
		copyVersion = version; copyStored = stored; copyStoredAt = storedAt }
	:: atomic { returns < RETURNS ->
		returns++; era++; version = copyVersion; stored = copyStored; storedAt = copyStoredAt;
		floor = version }
	:: stored == newest -> break
	od;
	/* Nothing changes any more: the entry reads what there is. */
	do
	:: atomic { ownEra == era && ownVersion == version && empty(answers) -> break }
	:: timeout -> assert(false)
	od;
	assert(own == stored && inForce == newest)
}

active proctype Entry() {
	do
	:: atomic { nfull(answers) -> call() }
	/* The oldest answer arrives, or a later one before it. */
	:: atomic { nempty(answers) -> answers?whole, sinceEra, sinceVersion, anEra, aVersion, aRow, aRowAt; merge() }
	:: atomic { len(answers) == UNDERWAY ->
		answers?whole, sinceEra, sinceVersion, anEra, aVersion, aRow, aRowAt;
		answers!whole, sinceEra, sinceVersion, anEra, aVersion, aRow, aRowAt; forget() }
	od
}
