package membership

import (
	"cmp"
	"slices"

	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/rendezvous"
)

// Reachability is the degree to which a peer is suspected of being unreachable.
type Reachability int

// The degrees of suspicion, in increasing order.
const (
	// Reachable is a peer that no observer suspects.
	Reachable Reachability = iota
	// Suspected is a peer that too few observers suspect to make it unreachable.
	// Other peers are preferred.
	Suspected
	// Unreachable is a peer that several independent observers suspect. It gets no new
	// work.
	Unreachable
)

// Peer is the state of one member as recorded by this process. It is immutable.
type Peer struct {
	member       member.Member
	reachability Reachability
	ownSuspicion bool
	listed       bool
	hash         uint64
}

// Member returns the member with the newest recorded incarnation and state.
func (p Peer) Member() member.Member { return p.member }

// Name returns the name of the member.
func (p Peer) Name() string { return p.member.Name() }

// Reachability returns the degree to which the member is suspected.
func (p Peer) Reachability() Reachability { return p.reachability }

// Listed reports whether the platform's last list contains the member.
func (p Peer) Listed() bool { return p.listed }

// Leaving reports whether the member is leaving and must get no new work.
func (p Peer) Leaving() bool { return p.member.State() == member.StateLeaving }

// TakesNewWork reports whether new work may be given to the member.
func (p Peer) TakesNewWork() bool { return !p.Leaving() && p.reachability != Unreachable }

// Rank returns the member's rendezvous hash for a seed. It depends only on the name
// and the seed, so all processes compute the same value.
func (p Peer) Rank(seed uint64) uint64 { return rendezvous.Mix(p.hash ^ rendezvous.Mix(seed)) }

// View is a snapshot of the members, sorted by name. It is immutable.
type View struct {
	version uint64
	peers   []Peer
	domains []Domain
	byName  map[string]int
}

// Domain holds the members of one failure domain, sorted by name.
type Domain struct {
	region string
	name   string
	peers  []Peer
}

// Region returns the region that the failure domain is in.
func (d Domain) Region() string { return d.region }

// Name returns the name of the failure domain.
func (d Domain) Name() string { return d.name }

// Peers returns the members. The caller must not modify the slice.
func (d Domain) Peers() []Peer { return d.peers }

// Version returns a number that increases with each view that a tracker publishes.
func (v *View) Version() uint64 { return v.version }

// Peers returns the members sorted by name. The caller must not modify the slice.
func (v *View) Peers() []Peer { return v.peers }

// Len returns the number of members.
func (v *View) Len() int { return len(v.peers) }

// Domains returns the failure domains sorted by region and name. The caller must not
// modify the slice.
func (v *View) Domains() []Domain { return v.domains }

// Get returns the named member, and false if there is none.
func (v *View) Get(name string) (Peer, bool) {
	i, ok := v.byName[name]
	if !ok {
		return Peer{}, false
	}
	return v.peers[i], true
}

// NewStaticView returns a view in which all members are listed and unsuspected.
func NewStaticView(members []member.Member) *View {
	peers := make([]Peer, len(members))
	for i, m := range members {
		peers[i] = Peer{member: m, listed: true, hash: rendezvous.Hash(m.Name())}
	}
	return newView(1, peers)
}

func newView(version uint64, peers []Peer) *View {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name(), b.Name()) })
	v := &View{version: version, peers: peers, byName: make(map[string]int, len(peers))}
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

func newPeer(e *peerState, self string) Peer {
	_, own := e.suspicions[self]
	return Peer{
		member:       e.member,
		reachability: e.reachability(),
		ownSuspicion: own,
		listed:       e.listed,
		hash:         rendezvous.Hash(e.member.Name()),
	}
}

// RankOf returns the rendezvous hash of the named member for a seed; see Peer.Rank.
func RankOf(name string, seed uint64) uint64 {
	return rendezvous.Mix(rendezvous.Hash(name) ^ rendezvous.Mix(seed))
}
