package retry

import "time"

// Sequence holds the state of the attempts of one request. It is not safe for concurrent
// use.
type Sequence struct {
	budget     *Budget
	idempotent bool
	attempt    int
	mayHaveRun bool
	minTime    time.Duration
}

// SequenceOption sets an optional property of a Sequence.
type SequenceOption func(*Sequence)

// WithIdempotent sets whether the request may run more than once.
func WithIdempotent(idempotent bool) SequenceOption {
	return func(s *Sequence) { s.idempotent = idempotent }
}

// WithMinTime sets the minimum time for an attempt. There is no retry with less time
// left.
func WithMinTime(d time.Duration) SequenceOption {
	return func(s *Sequence) { s.minTime = d }
}

// Attempt returns the number of the current attempt, starting at 1.
func (s *Sequence) Attempt() int { return s.attempt }

// MayHaveRun reports whether any attempt so far may have run.
func (s *Sequence) MayHaveRun() bool { return s.mayHaveRun }

// Decide records the outcome of the current attempt and returns what follows it. If that
// is Retry, the next attempt is counted. A request that is not idempotent is not retried
// after an attempt that may have run.
func (s *Sequence) Decide(o Outcome, timeLeft time.Duration) Decision {
	if o.kind == answered {
		return Decision{kind: Complete}
	}
	if o.kind == unknown {
		s.mayHaveRun = true
	}
	if s.attempt > 1 {
		s.budget.recordFailedRetry()
	}
	if s.mayHaveRun && !s.idempotent {
		return s.finalDecision(o, DeniedMayRun)
	}
	if s.attempt >= s.budget.maxAttempts {
		return s.finalDecision(o, DeniedAttempts)
	}
	backoff := s.budget.nextBackoff(s.attempt)
	if timeLeft < backoff+s.minTime {
		return s.finalDecision(o, DeniedTime)
	}
	if !s.budget.takeToken() {
		return s.finalDecision(o, DeniedBudget)
	}
	s.attempt++
	return Decision{kind: Retry, backoff: backoff}
}

// Resume returns whether another attempt follows one that this entry ended itself. It is no
// sign of a failure, and the promise pays for it.
func (s *Sequence) Resume(p *Promise, timeLeft time.Duration) Decision {
	s.mayHaveRun = true
	o := MayHaveRun()
	switch {
	case !s.idempotent:
		return s.finalDecision(o, DeniedMayRun)
	case s.attempt >= s.budget.maxAttempts:
		return s.finalDecision(o, DeniedAttempts)
	case timeLeft < s.minTime:
		return s.finalDecision(o, DeniedTime)
	case p == nil:
		return s.finalDecision(o, DeniedBudget)
	}
	p.use()
	s.attempt++
	return Decision{kind: Retry}
}

// GiveUp returns the final result of a request that gets no further attempt.
func (s *Sequence) GiveUp(retryAfter time.Duration) Decision {
	return s.finalDecision(NeverRan(retryAfter), "")
}

func (s *Sequence) finalDecision(o Outcome, why Denial) Decision {
	d := Decision{kind: NotRun, denial: why, retryAfter: o.retryAfter}
	if s.mayHaveRun {
		d.kind = Unknown
	}
	if d.retryAfter == 0 {
		d.retryAfter = s.budget.retryAfter
	}
	return d
}
