package standin

import (
	"cmp"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/transport/members"
)

// Members stands in for the platform's lagging membership list.
type Members struct {
	faults
	router *httprouter.Router
	now    func() time.Time

	listMu sync.Mutex
	lag    time.Duration
	// published lists every state that a reader may still see, oldest first.
	published []publishedList
}

type publishedList struct {
	since   time.Time
	members []member.Member
}

// MembersOption sets an optional property of a membership list.
type MembersOption func(*Members)

// WithLag delays what readers see by d.
func WithLag(d time.Duration) MembersOption {
	return func(m *Members) { m.lag = d }
}

// WithMembersClock replaces time.Now.
func WithMembersClock(now func() time.Time) MembersOption {
	return func(m *Members) { m.now = now }
}

// NewMembers returns an empty membership list.
func NewMembers(options ...MembersOption) *Members {
	m := &Members{router: httprouter.New(), now: time.Now}
	for _, o := range options {
		o(m)
	}
	m.published = []publishedList{{}}
	m.router.HandlerFunc(http.MethodGet, members.PathMembers, m.list)
	m.router.PUT(members.PathMembers+"/:name", m.put)
	m.router.DELETE(members.PathMembers+"/:name", m.remove)
	m.router.HandlerFunc(http.MethodPost, PathControl, m.control)
	return m
}

// ServeHTTP implements http.Handler.
func (m *Members) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != PathControl && !m.admit(w, r) {
		return
	}
	m.router.ServeHTTP(w, r)
}

// SetLag delays what readers see by d from now on.
func (m *Members) SetLag(d time.Duration) {
	m.listMu.Lock()
	defer m.listMu.Unlock()
	m.lag = d
}

// Put adds or replaces a member.
func (m *Members) Put(changed member.Member) {
	m.update(func(list []member.Member) []member.Member {
		i, found := findMember(list, changed.Name())
		if found {
			list[i] = changed
			return list
		}
		return slices.Insert(list, i, changed)
	})
}

// Remove takes a member off the list; an absent one stays absent.
func (m *Members) Remove(name string) {
	m.update(func(list []member.Member) []member.Member {
		i, found := findMember(list, name)
		if !found {
			return list
		}
		return slices.Delete(list, i, i+1)
	})
}

func (m *Members) update(change func([]member.Member) []member.Member) {
	m.listMu.Lock()
	defer m.listMu.Unlock()
	newest := m.published[len(m.published)-1]
	list := change(slices.Clone(newest.members))
	m.published = append(m.published, publishedList{since: m.now(), members: list})
}

// visible returns the newest list that is older than the lag and forgets those
// before it.
func (m *Members) visible() []member.Member {
	m.listMu.Lock()
	defer m.listMu.Unlock()
	limit := m.now().Add(-m.lag)
	newest := 0
	for i, p := range m.published {
		if !p.since.After(limit) {
			newest = i
		}
	}
	list := m.published[newest].members
	if m.lag == 0 {
		m.published = m.published[newest:]
	}
	return list
}

func (m *Members) list(w http.ResponseWriter, r *http.Request) {
	list := m.visible()
	if list == nil {
		list = []member.Member{}
	}
	data, err := json.Marshal(members.WireMembers{Members: list})
	if err != nil {
		panic("standin: members do not encode: " + err.Error())
	}
	etag := `"` + digest.Of(data).Short() + `"`
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(data)
	_ = compressed.Close()
}

func (m *Members) put(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	var changed member.Member
	if !decode(w, r, &changed) {
		return
	}
	if changed.Name() != p.ByName("name") {
		fail(w, http.StatusBadRequest, "name differs from path")
		return
	}
	m.Put(changed)
	w.WriteHeader(http.StatusNoContent)
}

func (m *Members) remove(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	m.Remove(p.ByName("name"))
	w.WriteHeader(http.StatusNoContent)
}

// MembersCounts are the counters of a membership list.
type MembersCounts struct {
	Members int `json:"members"`
}

func (m *Members) newest() []member.Member {
	m.listMu.Lock()
	defer m.listMu.Unlock()
	return m.published[len(m.published)-1].members
}

// MembersControl is the JSON form of the faults of a membership list.
type MembersControl struct {
	Control
	// LagMS delays what readers see, in milliseconds.
	LagMS *int64 `json:"lagMs,omitempty"`
}

func (m *Members) control(w http.ResponseWriter, r *http.Request) {
	var c MembersControl
	if !decode(w, r, &c) {
		return
	}
	m.faults.apply(c.Control)
	if c.LagMS != nil {
		m.SetLag(time.Duration(*c.LagMS) * time.Millisecond)
	}
	answer(w, http.StatusOK, MembersCounts{Members: len(m.newest())})
}

func findMember(list []member.Member, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(m member.Member, name string) int {
		return cmp.Compare(m.Name(), name)
	})
}
