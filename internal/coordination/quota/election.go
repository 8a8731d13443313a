package quota

import (
	"slices"
	"sync"
	"time"
)

// Announcement is a message of an entry that grants permits.
type Announcement struct {
	Address     string
	Incarnation uint64
	// Stamp is the sender's clock when it wrote the message.
	Stamp uint64
	// Interval is the time until the next announcement.
	Interval time.Duration
	// Revision is that of the sender's limits.
	Revision uint64
}

// Election decides which entry grants permits, and whom this entry gives its vote. It is
// safe for concurrent use.
type Election struct {
	self    string
	started time.Duration

	mu            sync.Mutex
	grants        bool // this entry grants permits
	announced     map[string]announced
	reportedSince map[string]time.Duration // reports without an announcement in return, by address
	silentUntil   map[string]time.Duration
	votedFor      Announcement // grantor that has the vote
	voteUntil     time.Duration
}

type announced struct {
	Announcement
	at time.Duration
}

// NewElection returns an Election of the entry with the address self.
func NewElection(self string, started time.Duration) *Election {
	// The process before at this address may have given its vote just now.
	e := &Election{self: self, started: started, voteUntil: started + VoteLease(minAnnounceInterval)}
	e.reset()
	return e
}

// Reset forgets all grantors, since no endpoint has a limit. A vote stays given until
// its lease ends.
func (e *Election) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

func (e *Election) reset() {
	e.grants = false
	e.announced = make(map[string]announced)
	e.reportedSince = make(map[string]time.Duration)
	e.silentUntil = make(map[string]time.Duration)
}

// RecordAnnouncement records an announcement.
func (e *Election) RecordAnnouncement(now time.Duration, a Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.announced[a.Address]
	if last.Incarnation == a.Incarnation && a.Stamp < last.Stamp {
		return
	}
	e.announced[a.Address] = announced{a, now}
	delete(e.reportedSince, a.Address)
	delete(e.silentUntil, a.Address)
}

// Grantor returns the address of the entry that grants permits, empty if there is none
// yet. Of those that announce themselves it is the first in the order of addresses, so
// that the others stop. If none does, it is this entry if no live one that precedes it
// may answer. Candidates are the entries to report to until one of them announces itself.
func (e *Election) Grantor(now time.Duration, live func() []string) (grantor string, candidates []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	grantor = e.announcedGrantor(now)
	if grantor == "" {
		candidates = e.candidates(now, live())
		if len(candidates) > 0 && candidates[0] == e.self && now-e.started >= startDelay {
			grantor, candidates = e.self, nil
		}
	}
	e.grants = grantor == e.self
	return grantor, candidates
}

// announcedGrantor returns the first entry that announces itself, this one included.
// The caller holds the mutex.
func (e *Election) announcedGrantor(now time.Duration) string {
	first := ""
	if e.grants {
		first = e.self
	}
	for address, a := range e.announced {
		if now-a.at >= VoteLease(a.Interval) {
			delete(e.announced, address)
			continue
		}
		if first == "" || address < first {
			first = address
		}
	}
	return first
}

// candidates returns the first entries that may grant permits, in the order of addresses:
// live ones that are not known to be silent. This entry is the last of them. Several are
// tried at a time, since a whole region may have failed just now. The caller holds the
// mutex.
func (e *Election) candidates(now time.Duration, live []string) []string {
	slices.Sort(live)
	var list []string
	for _, address := range live {
		if len(list) == maxCandidates || address > e.self {
			break
		}
		if now >= e.silentUntil[address] {
			list = append(list, address)
		}
	}
	if len(list) < maxCandidates {
		list = append(list, e.self)
	}
	return list
}

// RecordReport records that a report was sent to a grantor. One that does not announce
// itself in return is passed over for a while.
func (e *Election) RecordReport(now time.Duration, grantor string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, answers := e.announced[grantor]; answers {
		return
	}
	since, reported := e.reportedSince[grantor]
	switch {
	case !reported:
		e.reportedSince[grantor] = now
	case now-since >= silenceTimeout:
		e.silentUntil[grantor] = now + silencePeriod
		delete(e.reportedSince, grantor)
	}
}

// Announced returns the last announcement of a grantor and reports whether it is recent.
func (e *Election) Announced(now time.Duration, grantor string) (Announcement, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, known := e.announced[grantor]
	return a.Announcement, known && now-a.at < VoteLease(a.Interval)
}

// Vote gives the vote of this entry to a grantor, or renews it, in response to an
// announcement. It returns the lease, which runs from now on, or 0 if another grantor
// has the vote.
func (e *Election) Vote(now time.Duration, a Announcement) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	given := now < e.voteUntil
	if given && (e.votedFor.Address != a.Address || e.votedFor.Incarnation != a.Incarnation) {
		return 0
	}
	lease := VoteLease(a.Interval)
	e.votedFor = a
	e.voteUntil = max(e.voteUntil, now+lease)
	return lease
}
