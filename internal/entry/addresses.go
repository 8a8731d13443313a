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

// Parameters of the question which addresses to use.
const (
	queryRegion        = "region"
	queryFailureDomain = "failureDomain"
)

const defaultAddressesTTL = 10 * time.Second

// addressList answers a caller's question which addresses to use.
type addressList struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds int      `json:"ttlSeconds"`
}

// addressBook keeps the accounts' addresses for one view of the members and one
// revision.
type addressBook struct {
	view     *membership.View
	revision uint64
	leaving  bool
	shards   *routing.ShardAssignment
}

// addresses returns the current addresses, made anew when the view changed.
func (e *Entry) addresses() *routing.ShardAssignment {
	view, revision, leaving := e.node.View(), e.node.Revision(), e.leaving.Load()
	b := e.book.Load()
	if b != nil && b.view == view && b.revision == revision && b.leaving == leaving {
		return b.shards
	}
	b = &addressBook{view: view, revision: revision, leaving: leaving}
	b.shards = e.newAddresses(e.node.Members(), leaving)
	e.book.Store(b)
	return b.shards
}

func (e *Entry) newAddresses(members []member.Member, leaving bool) *routing.ShardAssignment {
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
	var staying []member.Member
	for _, m := range members {
		if !leaving || m.Name() != e.node.Self().Name() {
			staying = append(staying, m)
		}
	}
	return routing.NewShardAssignment(staying, accounts, routing.WithTimeToLive(ttl))
}

func (e *Entry) serveAddresses(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	list := e.addresses().Lookup(r.Header.Get(HeaderAccount), query.Get(queryRegion), query.Get(queryFailureDomain))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(addressList{
		Addresses:  list.Addresses(),
		TTLSeconds: int(list.TimeToLive().Seconds()),
	})
}
