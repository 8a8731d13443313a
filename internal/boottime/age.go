package boottime

import "time"

// maxAge bounds ages in messages. It is far above any that is of use, and times from
// which it is subtracted do not overflow.
const maxAge = 50 * 365 * 24 * time.Hour

// AgeFromMicros returns an age from a message, 50 years at most.
func AgeFromMicros(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxAge/time.Microsecond))) * time.Microsecond
}
