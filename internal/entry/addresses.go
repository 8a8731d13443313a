package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/primrosetally/primrosetally/internal/coordination/membership"
	"github.com/primrosetally/primrosetally/internal/coordination/routing"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Query parameters of GET /addresses.
const (
	queryRegion        = "region"
	queryFailureDomain = "failureDomain"
)

const defaultAddressesTTL = 10 * time.Second

// addressList is the response body of GET /addresses.
type addressList struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds int      `json:"ttlSeconds"`
}

// shardCache holds the shard assignment computed from one membership view, one
// configuration revision and one drain state.
type shardCache struct {
	view     *membership.View
	revision uint64
	draining bool
	shards   *routing.ShardAssignment
}

// shardAssignment returns the current assignment of entries to client accounts. It is
// recomputed when the membership, the configuration or the drain state has changed.
func (e *Entry) shardAssignment() *routing.ShardAssignment {
	view, revision, draining := e.node.View(), e.node.Revision(), e.draining.Load()
	c := e.shards.Load()
	if c != nil && c.view == view && c.revision == revision && c.draining == draining {
		return c.shards
	}
	c = &shardCache{view: view, revision: revision, draining: draining}
	c.shards = e.newShardAssignment(e.node.Members(), draining)
	e.shards.Store(c)
	return c.shards
}

func (e *Entry) newShardAssignment(members []member.Member, draining bool) *routing.ShardAssignment {
	var accounts []routing.Account
	ttl := defaultAddressesTTL
	if s := e.node.Snapshot(); s != nil {
		for _, a := range s.Config().Accounts() {
			accounts = append(accounts, routing.NewAccount(a.Name(), float64(max(a.Weight(), 1))))
		}
		if d := s.Config().Properties().AddressTimeToLive(); d > 0 {
			ttl = d
		}
	}
	var remaining []member.Member
	for _, m := range members {
		if !draining || m.Name() != e.node.Self().Name() {
			remaining = append(remaining, m)
		}
	}
	return routing.NewShardAssignment(remaining, accounts, routing.WithTimeToLive(ttl))
}

func (e *Entry) serveAddresses(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	list := e.shardAssignment().Lookup(r.Header.Get(HeaderAccount), query.Get(queryRegion), query.Get(queryFailureDomain))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(addressList{
		Addresses:  list.Addresses(),
		TTLSeconds: int(list.TimeToLive().Seconds()),
	})
}
