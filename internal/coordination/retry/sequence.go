package retry

import "time"

// Sequence is the attempts of one request. It is used by one goroutine.
type Sequence struct {
	budget     *Budget
	idempotent bool
	attempt    int
	mayHaveRun bool
	minTime    time.Duration
}

// SequenceOption sets an optional property of a sequence.
type SequenceOption func(*Sequence)

// WithIdempotent sets whether the request may run more than once.
func WithIdempotent(idempotent bool) SequenceOption {
	return func(s *Sequence) { s.idempotent = idempotent }
}

// WithMinTime sets the time that an attempt needs at least; with less left
// there is no retry.
func WithMinTime(d time.Duration) SequenceOption {
	return func(s *Sequence) { s.minTime = d }
}

// Attempt returns the number of the current attempt, from 1.
func (s *Sequence) Attempt() int { return s.attempt }

// MayHaveRun reports whether an attempt so far may have run.
func (s *Sequence) MayHaveRun() bool { return s.mayHaveRun }

// Decide returns what follows the current attempt, and counts the next one if
// it is Again. A request that is not idempotent has no attempt after one that
// may have run.
func (s *Sequence) Decide(o Outcome, timeLeft time.Duration) Decision {
	if o.kind == answered {
		return Decision{kind: Complete}
	}
	if o.kind == unknown {
		s.mayHaveRun = true
	}
	if s.attempt > 1 {
		s.budget.retryFailed()
	}
	if s.mayHaveRun && !s.idempotent {
		return s.final(o)
	}
	if s.attempt >= s.budget.maxAttempts {
		return s.final(o)
	}
	backoff := s.budget.wait(s.attempt)
	if timeLeft < backoff+s.minTime || !s.budget.take() {
		return s.final(o)
	}
	s.attempt++
	return Decision{kind: Retry, backoff: backoff}
}

// GiveUp returns the final answer of a request that gets no further attempt.
func (s *Sequence) GiveUp(retryAfter time.Duration) Decision {
	return s.final(NeverRan(retryAfter))
}

func (s *Sequence) final(o Outcome) Decision {
	d := Decision{kind: NotRun, retryAfter: o.retryAfter}
	if s.mayHaveRun {
		d.kind = Unknown
	}
	if d.retryAfter == 0 {
		d.retryAfter = s.budget.retryAfter
	}
	return d
}
