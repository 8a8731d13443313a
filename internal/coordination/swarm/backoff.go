package swarm

import "time"

// backoffPolicy is the delay after the first failure of a source, and the maximum
// delay after repeated failures.
type backoffPolicy struct {
	initial, maximum time.Duration
}

// defaultBackoff is meant for models that take minutes to transfer.
var defaultBackoff = backoffPolicy{initial: time.Second, maximum: 32 * time.Second}

// backoffState is the backoff state of a source: its consecutive failures and the
// time until which it is not used.
type backoffState struct {
	failures int
	retryAt  time.Time
}

// recordFailure delays the next use of the source. The delay doubles with every
// consecutive failure, up to the maximum of the policy.
func (s *backoffState) recordFailure(now time.Time, policy backoffPolicy) {
	wait := min(policy.initial<<min(s.failures, 10), policy.maximum)
	s.failures++
	s.retryAt = now.Add(wait)
}

// delay postpones the next use of the source by at least d without counting a
// failure.
func (s *backoffState) delay(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(s.retryAt) {
		s.retryAt = until
	}
}

// reset clears the failures after the source has sent a verified chunk.
func (s *backoffState) reset() { s.failures = 0 }

// ready reports whether the source may be used at now.
func (s *backoffState) ready(now time.Time) bool { return !now.Before(s.retryAt) }
