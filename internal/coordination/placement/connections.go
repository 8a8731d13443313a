package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

const (
	// connectionPercent is the percentage of the connections that an endpoint accepts which
	// the entries divide among themselves. The rest is for those of processes that have
	// just ended and for checks whether the endpoint is there.
	connectionPercent = 90
	// minConnections is the least number of connections with which an entry uses an
	// endpoint. Where there are not as many for each entry, some entries use it.
	minConnections = 2
)

// ConnectionShares divides the connections that endpoints accept among the entries, without
// messages about it: the shares of entries that know each other come to no more than there
// are. It is not safe for concurrent use.
type ConnectionShares struct {
	self   Entry
	others func() []Entry
	count  int
	order  *entryOrder // nil until it is needed
}

// NewConnectionShares returns the shares of the entry self. The function others returns all
// others that may be running, as far as more than their existence is known; it is called if
// there are fewer connections than the entries need. The argument count is the number of all
// entries.
func NewConnectionShares(self Entry, others func() []Entry, count int) *ConnectionShares {
	return &ConnectionShares{self: self, others: others, count: max(count, 1)}
}

// Of returns how many connections this entry may have to an endpoint that accepts the given
// number from all entries together, 0 if it must not use it.
func (s *ConnectionShares) Of(endpoint string, accepted int) int {
	budget := max(accepted*connectionPercent/100, 1)
	if share := budget / s.count; share >= minConnections {
		return share
	}
	if s.order == nil {
		s.order = newEntryOrder(s.self, s.others())
	}
	holders := max(budget/minConnections, 1)
	if s.place(endpoint) > float64(holders) {
		return 0
	}
	return budget / holders
}

// place returns the place of this entry among all, from 1 on. The entries of which nothing is
// known are taken to be spread like the others; by chance there may be more of them before
// this one, for which the place is one standard deviation later.
func (s *ConnectionShares) place(endpoint string) float64 {
	known := float64(len(s.order.others) + 1)
	among := float64(s.order.rank(endpoint) + 1)
	share := min(known/float64(s.count), 1) // of the entries that are known
	return (among + math.Sqrt(among*(1-share))) / share
}

// entryOrder is the order in which entries use an endpoint if not all of them can.
type entryOrder struct {
	self   entryKey
	others []entryKey
}

// entryKey is what the place of an entry in the order depends on.
type entryKey struct {
	position int // in the order in which callers are directed to the entries of its domain
	hash     uint64
}

func newEntryOrder(self Entry, others []Entry) *entryOrder {
	all := append(slices.Clone(others), self)
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Domain, b.Domain), compareEntries(a, b)) })
	o := &entryOrder{}
	position := 0
	for i, e := range all {
		if i > 0 && e.Domain != all[i-1].Domain {
			position = 0
		}
		key := entryKey{position: position, hash: rendezvous.Hash(e.Address)}
		if e.Address == self.Address {
			o.self = key
		} else {
			o.others = append(o.others, key)
		}
		position++
	}
	return o
}

// rank returns how many of the others come before this entry: those that callers are directed
// to first in each failure domain, then the next of each.
func (o *entryOrder) rank(endpoint string) int {
	hash := rendezvous.Hash(endpoint)
	own := rendezvous.Mix(o.self.hash ^ hash)
	rank := 0
	for _, k := range o.others {
		if k.position < o.self.position || k.position == o.self.position && rendezvous.Mix(k.hash^hash) < own {
			rank++
		}
	}
	return rank
}
