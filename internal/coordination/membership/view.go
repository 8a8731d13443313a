package membership

import (
	"cmp"
	"slices"

	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

// Reachability tells how far a peer is suspected.
type Reachability int

// The degrees of suspicion.
const (
	// Reachable is a peer that nobody suspects.
	Reachable Reachability = iota
	// Suspected is a peer that few suspect: others are preferred to it.
	Suspected
	// Unreachable is a peer that several independent observers suspect: it gets no
	// new work.
	Unreachable
)

// Peer is one member as this process sees it. It is immutable.
type Peer struct {
	member       member.Member
	reach        Reachability
	ownSuspicion bool
	listed       bool
	hash         uint64
}

// Member returns the member with the newest incarnation and state known.
func (p Peer) Member() member.Member { return p.member }

// Name returns the name of the member.
func (p Peer) Name() string { return p.member.Name() }

// Reachability returns how far the member is suspected.
func (p Peer) Reachability() Reachability { return p.reach }

// Listed reports whether the platform's last list names the member.
func (p Peer) Listed() bool { return p.listed }

// Leaving reports whether the member must get no new work.
func (p Peer) Leaving() bool { return p.member.State() == member.StateLeaving }

// TakesNewWork reports whether new work may be given to the member.
func (p Peer) TakesNewWork() bool { return !p.Leaving() && p.reach != Unreachable }

// Rank returns the member's rendezvous hash under a seed. All processes compute
// the same one from the name alone.
func (p Peer) Rank(seed uint64) uint64 { return rendezvous.Mix(p.hash ^ rendezvous.Mix(seed)) }

// View is the members at one moment, sorted by name. It is immutable.
type View struct {
	number  uint64
	peers   []Peer
	domains []Domain
	byName  map[string]int
}

// Domain is the members of one failure domain, sorted by name.
type Domain struct {
	region string
	name   string
	peers  []Peer
}

// Region returns the region that the failure domain is in.
func (d Domain) Region() string { return d.region }

// Name returns the name of the failure domain.
func (d Domain) Name() string { return d.name }

// Peers returns the members; the caller must not change the slice.
func (d Domain) Peers() []Peer { return d.peers }

// Version grows with each view that a tracker publishes.
func (v *View) Version() uint64 { return v.number }

// Peers returns the members sorted by name; the caller must not change the slice.
func (v *View) Peers() []Peer { return v.peers }

// Len returns the number of members.
func (v *View) Len() int { return len(v.peers) }

// Domains returns the failure domains sorted by region and name; the caller must
// not change the slice.
func (v *View) Domains() []Domain { return v.domains }

// Get returns the member called name.
func (v *View) Get(name string) (Peer, bool) {
	i, ok := v.byName[name]
	if !ok {
		return Peer{}, false
	}
	return v.peers[i], true
}

// NewStaticView returns a view of a list that no evidence speaks against.
func NewStaticView(members []member.Member) *View {
	peers := make([]Peer, len(members))
	for i, m := range members {
		peers[i] = Peer{member: m, listed: true, hash: rendezvous.Hash(m.Name())}
	}
	return newView(1, peers)
}

func newView(number uint64, peers []Peer) *View {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name(), b.Name()) })
	v := &View{number: number, peers: peers, byName: make(map[string]int, len(peers))}
	for i, p := range peers {
		v.byName[p.Name()] = i
		v.addToDomain(p)
	}
	slices.SortFunc(v.domains, func(a, b Domain) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.name, b.name))
	})
	return v
}

func (v *View) addToDomain(p Peer) {
	for i := range v.domains {
		d := &v.domains[i]
		if d.region == p.member.Region() && d.name == p.member.FailureDomain() {
			d.peers = append(d.peers, p)
			return
		}
	}
	v.domains = append(v.domains, Domain{
		region: p.member.Region(),
		name:   p.member.FailureDomain(),
		peers:  []Peer{p},
	})
}

func newPeer(e *evidence, self string) Peer {
	_, own := e.observers[self]
	return Peer{
		member:       e.member,
		reach:        e.reach(),
		ownSuspicion: own,
		listed:       e.listed,
		hash:         rendezvous.Hash(e.member.Name()),
	}
}

// RankOf returns the rendezvous hash of the member called name under a seed; see
// Peer.Rank.
func RankOf(name string, seed uint64) uint64 {
	return rendezvous.Mix(rendezvous.Hash(name) ^ rendezvous.Mix(seed))
}
