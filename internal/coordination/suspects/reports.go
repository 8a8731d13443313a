package suspects

import (
	"slices"
	"time"
)

// Soundness is a key with the time at which an answer to a request with it began that did
// not end in a crash.
type Soundness struct {
	Key Key
	At  time.Duration
}

// Report is evidence that entries exchange. Its times are on the clock of the entry that
// holds it.
type Report struct {
	Crashes []Observed
	Sound   []Soundness
}

// Empty reports whether the report has nothing.
func (r Report) Empty() bool { return len(r.Crashes)+len(r.Sound) == 0 }

// Merge adds what another entry reports.
func (e *Evidence) Merge(now time.Duration, r Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	for _, o := range r.Crashes {
		if now-o.At < evidenceTime {
			changed = e.mergeCrash(o) || changed
		}
	}
	for _, s := range r.Sound {
		changed = e.clear(s.Key, s.At) || changed
		if s.At > e.told[s.Key] && e.keys[s.Key] {
			e.told[s.Key] = s.At
			delete(e.toTell, s.Key)
		}
	}
	if changed {
		e.judge(now)
	}
}

// mergeCrash adds what is reported of a crash and reports whether that is new. Of several
// times the earliest is right: a message that was under way for longer makes a crash seem
// later, and crashes that are reported together seem to be one incident. So an entry that
// was suspended gets the right times with any later report.
func (e *Evidence) mergeCrash(o Observed) bool {
	if len(o.Attempts) == 0 && e.crash(o.Incarnation) == nil {
		return false
	}
	c := e.addCrash(o.Incarnation, o.At)
	attempts, changed := addAttempts(c.attempts, o.Attempts, maxAttemptsPerCrash)
	c.attempts = attempts
	if o.At < c.at-timeError {
		c.at = o.At
		sortCrashes(e.crashes)
		changed = true
	}
	return changed
}

// TakeReport returns what this entry has to report now, and how long until there is more, 0
// if there is nothing else.
func (e *Evidence) TakeReport(now time.Duration) (report Report, next time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.crashes {
		if c.sends > 0 && c.dueAt <= now {
			report.Crashes = append(report.Crashes, Observed{Incarnation: c.incarnation, At: c.at, Attempts: slices.Clone(c.own)})
			c.sends--
			c.dueAt = now + resendDelay
		}
		if c.sends > 0 {
			next = max(c.dueAt-now, time.Millisecond)
		}
	}
	if len(report.Crashes) > 0 {
		report.Crashes = append(report.Crashes, e.recentTimes(now)...)
	}
	for k := range e.toTell {
		report.Sound = append(report.Sound, Soundness{Key: k, At: e.sound[k]})
		e.told[k] = e.sound[k]
	}
	clear(e.toTell)
	return report, next
}

// recentTimes returns the crashes of the last recentTime without their attempts.
func (e *Evidence) recentTimes(now time.Duration) []Observed {
	var list []Observed
	for _, c := range e.crashes {
		if now-c.at <= recentTime {
			list = append(list, Observed{Incarnation: c.incarnation, At: c.at})
		}
	}
	return list
}

// Supporting returns the evidence on which quarantines rest, for an entry that has just started
// or was cut off.
func (e *Evidence) Supporting() Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	var report Report
	quarantines := *e.quarantines.Load()
	for _, c := range e.crashes {
		o := Observed{Incarnation: c.incarnation, At: c.at}
		for _, a := range c.attempts {
			if slices.ContainsFunc(quarantines, func(q *quarantine) bool { return a.Request.hasAll(q.signature) }) {
				o.Attempts = append(o.Attempts, a)
			}
		}
		if len(o.Attempts) > 0 {
			report.Crashes = append(report.Crashes, o)
		}
	}
	for k, at := range e.sound {
		report.Sound = append(report.Sound, Soundness{Key: k, At: at})
	}
	if len(report.Crashes) == 0 {
		return Report{}
	}
	return report
}
