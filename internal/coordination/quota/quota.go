// Package quota holds the rate limits that endpoints state for all entries together.
//
// # Usage
//
//	limits := quota.NewLimits()
//	changed := limits.Record(now, sent, endpoint, quota.NewLimit(1.5))
package quota
