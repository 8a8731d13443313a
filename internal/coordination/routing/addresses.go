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
	defaultShardSize    = 4
	defaultAddressTTL   = 30 * time.Second
	defaultAccountBound = 1.25
)

// ShardAssignment tells which entries a client account uses. It is immutable: every
// change of membership or accounts makes another one. Entries that see the same
// members and accounts give the same answers.
type ShardAssignment struct {
	entries   []member.Member
	shards    map[string][]int
	ttl       time.Duration
	shardSize int
	loadBound float64
}

// ShardAssignmentOption sets an optional property of Addresses.
type ShardAssignmentOption func(*ShardAssignment)

// WithShardSize sets how many entries an account uses, 4 by default.
func WithShardSize(n int) ShardAssignmentOption {
	return func(a *ShardAssignment) { a.shardSize = n }
}

// WithTimeToLive sets for how long a caller may keep an answer. An entry that
// leaves goes on serving for longer than that.
func WithTimeToLive(d time.Duration) ShardAssignmentOption {
	return func(a *ShardAssignment) { a.ttl = d }
}

// Account is a client account with its share of the traffic.
type Account struct {
	name   string
	weight float64
}

// NewAccount returns an account; the weight is relative to the others.
func NewAccount(name string, weight float64) Account {
	return Account{name: name, weight: weight}
}

// NewShardAssignment spreads the accounts over the live entries among members by
// shuffle sharding with bounded loads: each account goes to the entries that
// rank first for it, except where one already carries the bound's share.
func NewShardAssignment(members []member.Member, accounts []Account, options ...ShardAssignmentOption) *ShardAssignment {
	a := &ShardAssignment{
		shards:    map[string][]int{},
		ttl:       defaultAddressTTL,
		shardSize: defaultShardSize,
		loadBound: defaultAccountBound,
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

// assign places the largest accounts first, so that the bound is met by moving
// the small ones.
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

// shard picks an account's entries one at a time and adds its weight to them.
func (a *ShardAssignment) shard(acc Account, loads []float64, bound float64) []int {
	size := min(a.shardSize, len(a.entries))
	part := acc.weight / float64(size)
	ranked := a.ranked(acc.name)
	chosen := make([]int, 0, size)
	for _, i := range ranked {
		if len(chosen) < size && loads[i]+part <= bound {
			chosen = append(chosen, i)
		}
	}
	for len(chosen) < size {
		chosen = append(chosen, leastLoaded(ranked, loads, chosen))
	}
	for _, i := range chosen {
		loads[i] += part
	}
	return chosen
}

func (a *ShardAssignment) ranked(account string) []int {
	own := rendezvous.Hash(account)
	order := make([]int, len(a.entries))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Compare(rendezvous.Mix(own^rendezvous.Hash(a.entries[j].Name())), rendezvous.Mix(own^rendezvous.Hash(a.entries[i].Name())))
	})
	return order
}

func leastLoaded(order []int, loads []float64, without []int) int {
	best, least := -1, math.Inf(1)
	for _, i := range order {
		if loads[i] < least && !slices.Contains(without, i) {
			best, least = i, loads[i]
		}
	}
	return best
}

// AddressList is what a caller is given.
type AddressList struct {
	addresses  []string
	timeToLive time.Duration
}

// Addresses returns IP numbers with ports, the one to be tried first in front.
func (l AddressList) Addresses() []string { return l.addresses }

// TimeToLive returns for how long the caller may keep the list.
func (l AddressList) TimeToLive() time.Duration { return l.timeToLive }

// Lookup returns the addresses for an account, the ones nearest to the caller's
// place first. An account that was not named at construction gets the entries
// that rank first for it.
func (a *ShardAssignment) Lookup(account, region, failureDomain string) AddressList {
	shard, known := a.shards[account]
	if !known {
		ranked := a.ranked(account)
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

func distance(m member.Member, region, failureDomain string) int {
	switch {
	case m.FailureDomain() == failureDomain:
		return 0
	case m.Region() == region:
		return 1
	}
	return 2
}
