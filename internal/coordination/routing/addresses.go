package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

const (
	defaultShardSize      = 4
	defaultAddressTTL     = 30 * time.Second
	defaultEntryLoadBound = 1.25
)

// ShardAssignment is the assignment of client accounts to entries. It is immutable: each
// change of members or accounts requires a new one. The assignment is deterministic, so
// entries with the same members and accounts return the same addresses.
type ShardAssignment struct {
	entries   []member.Member
	shards    map[string][]int
	ttl       time.Duration
	shardSize int
	loadBound float64
}

// ShardAssignmentOption sets an optional property of a ShardAssignment.
type ShardAssignmentOption func(*ShardAssignment)

// WithShardSize sets the number of entries that an account uses. The default is 4.
func WithShardSize(n int) ShardAssignmentOption {
	return func(a *ShardAssignment) { a.shardSize = n }
}

// WithTimeToLive sets how long a caller may cache the addresses. A leaving entry
// continues to serve for longer than this, so cached addresses remain usable. The
// default is 30 seconds.
func WithTimeToLive(d time.Duration) ShardAssignmentOption {
	return func(a *ShardAssignment) { a.ttl = d }
}

// Account is a client account with its relative share of the traffic.
type Account struct {
	name   string
	weight float64
}

// NewAccount returns an account. The weight is relative to those of the other
// accounts.
func NewAccount(name string, weight float64) Account {
	return Account{name: name, weight: weight}
}

// NewShardAssignment assigns the accounts to the live entries among members by shuffle
// sharding with bounded loads: each account is assigned to the entries that rank
// highest for it, without those whose load would exceed the bound. The bound is a
// multiple of the mean load of an entry.
func NewShardAssignment(members []member.Member, accounts []Account, options ...ShardAssignmentOption) *ShardAssignment {
	a := &ShardAssignment{
		shards:    map[string][]int{},
		ttl:       defaultAddressTTL,
		shardSize: defaultShardSize,
		loadBound: defaultEntryLoadBound,
	}
	for _, o := range options {
		o(a)
	}
	for _, m := range members {
		if m.Role() == member.RoleEntry && m.State() == member.StateLive {
			a.entries = append(a.entries, m)
		}
	}
	slices.SortFunc(a.entries, func(x, y member.Member) int { return cmp.Compare(x.Name(), y.Name()) })
	a.assign(accounts)
	return a
}

// assign computes the shards of all accounts. It processes accounts by descending
// weight, so that mostly small accounts are moved to respect the bound.
func (a *ShardAssignment) assign(accounts []Account) {
	if len(a.entries) == 0 {
		return
	}
	var total float64
	for _, acc := range accounts {
		total += acc.weight
	}
	bound := a.loadBound * total / float64(len(a.entries))
	ordered := slices.Clone(accounts)
	slices.SortFunc(ordered, func(x, y Account) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.name, y.name))
	})
	loads := make([]float64, len(a.entries))
	for _, acc := range ordered {
		a.shards[acc.name] = a.shard(acc, loads, bound)
	}
}

// shard returns the indices of an account's entries and adds the account's weight to
// their loads. If too few entries are below the bound, it adds the least loaded ones.
func (a *ShardAssignment) shard(acc Account, loads []float64, bound float64) []int {
	size := min(a.shardSize, len(a.entries))
	weightPerEntry := acc.weight / float64(size)
	ranked := a.rankEntries(acc.name)
	chosen := make([]int, 0, size)
	for _, i := range ranked {
		if len(chosen) < size && loads[i]+weightPerEntry <= bound {
			chosen = append(chosen, i)
		}
	}
	for len(chosen) < size {
		chosen = append(chosen, leastLoaded(ranked, loads, chosen))
	}
	for _, i := range chosen {
		loads[i] += weightPerEntry
	}
	return chosen
}

// rankEntries returns the indices of all entries in descending order of their rendezvous
// hash for the account.
func (a *ShardAssignment) rankEntries(account string) []int {
	accountHash := rendezvous.Hash(account)
	order := make([]int, len(a.entries))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Compare(rendezvous.Mix(accountHash^rendezvous.Hash(a.entries[j].Name())), rendezvous.Mix(accountHash^rendezvous.Hash(a.entries[i].Name())))
	})
	return order
}

// leastLoaded returns the index with the least load, the first in order among equal
// ones, or -1 if all indices are excluded.
func leastLoaded(order []int, loads []float64, excluded []int) int {
	best, least := -1, math.Inf(1)
	for _, i := range order {
		if loads[i] < least && !slices.Contains(excluded, i) {
			best, least = i, loads[i]
		}
	}
	return best
}

// AddressList is the list of entry addresses that a caller receives.
type AddressList struct {
	addresses  []string
	timeToLive time.Duration
}

// Addresses returns IP addresses with ports in the order in which the caller should
// try them.
func (l AddressList) Addresses() []string { return l.addresses }

// TimeToLive returns how long the caller may cache the list.
func (l AddressList) TimeToLive() time.Duration { return l.timeToLive }

// Lookup returns the addresses for an account, ordered by their distance to the caller:
// those in the given failure domain first, then those in the region, then all others.
// An account that was not passed to NewShardAssignment gets the entries that rank highest
// for it.
func (a *ShardAssignment) Lookup(account, region, failureDomain string) AddressList {
	shard, assigned := a.shards[account]
	if !assigned {
		ranked := a.rankEntries(account)
		shard = ranked[:min(a.shardSize, len(ranked))]
	}
	ordered := slices.Clone(shard)
	slices.SortStableFunc(ordered, func(i, j int) int {
		return cmp.Compare(
			distance(a.entries[i], region, failureDomain),
			distance(a.entries[j], region, failureDomain),
		)
	})
	l := AddressList{timeToLive: a.ttl, addresses: make([]string, len(ordered))}
	for k, i := range ordered {
		l.addresses[k] = a.entries[i].CallerAddress()
	}
	return l
}

// distance returns 0 for an entry in the failure domain, 1 for one elsewhere in the
// region and 2 for all others.
func distance(m member.Member, region, failureDomain string) int {
	switch {
	case m.FailureDomain() == failureDomain:
		return 0
	case m.Region() == region:
		return 1
	}
	return 2
}
