package accept_test

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/accept"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/transport/objects"
	"github.com/primrosetally/primrosetally/internal/transport/tables"
)

// change is the change that the rows of TestFailures submit.
func change() accept.Change {
	return accept.Change{ID: "mine", Base: 1, Config: textWith(2), Token: "shops"}
}

// otherAccepts lets another operator's change be accepted on top of the head.
func otherAccepts(t *testing.T, f *fakeTable, id string) {
	t.Helper()
	f.commits, f.gets = nil, nil
	base := f.head(t).Revision
	r := f.acceptor().Submit(t.Context(), accept.Change{ID: id, Base: base, Config: textWith(100 + int(base)), Token: "shops"})
	require.Equal(t, accept.Accepted, r.Outcome(), r.Reason())
}

func TestFailures(t *testing.T) {
	tests := []struct {
		name string
		// before brings about the failure; during runs after each transaction.
		before func(*testing.T, *fakeTable)
		during func(*testing.T, *fakeTable)
		want   accept.Outcome
		// after runs between the first and the second Submit of the change.
		after  func(*testing.T, *fakeTable)
		again  accept.Outcome
		other  string
		commit bool
	}{
		{name: "no failure", want: accept.Accepted, again: accept.Accepted, commit: true},
		{
			name:   "another operator was first",
			before: func(t *testing.T, f *fakeTable) { otherAccepts(t, f, "other") },
			want:   accept.Conflict, again: accept.Conflict, other: "other",
		},
		{
			name: "two operators were first",
			before: func(t *testing.T, f *fakeTable) {
				otherAccepts(t, f, "other")
				otherAccepts(t, f, "later")
			},
			want: accept.Conflict, again: accept.Conflict, other: "other",
		},
		{
			name:   "answer lost after the write",
			before: func(_ *testing.T, f *fakeTable) { f.commits = []fault{lostAnswer} },
			want:   accept.Accepted, again: accept.Accepted, commit: true,
		},
		{
			name: "answer lost after the write, and the entry can't read",
			before: func(_ *testing.T, f *fakeTable) {
				f.commits = []fault{lostAnswer, outage, outage}
				f.gets = []fault{noFault, noFault, outage, outage, outage}
			},
			want: accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:   "answer lost after the write, then another's change",
			before: func(_ *testing.T, f *fakeTable) { f.commits = []fault{lostAnswer} },
			during: func(t *testing.T, f *fakeTable) { otherAccepts(t, f, "other") },
			want:   accept.Accepted, again: accept.Accepted, commit: true,
		},
		{
			name: "answer lost twice in a row, then another's change",
			before: func(_ *testing.T, f *fakeTable) {
				f.commits = []fault{lostAnswer, lostAnswer}
				f.gets = []fault{noFault, noFault, outage, outage, outage}
			},
			after: func(t *testing.T, f *fakeTable) { otherAccepts(t, f, "other") },
			want:  accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:   "request lost before the write",
			before: func(_ *testing.T, f *fakeTable) { f.commits = []fault{lostRequest} },
			want:   accept.Accepted, again: accept.Accepted, commit: true,
		},
		{
			name:   "request lost each time, then another's change",
			before: func(_ *testing.T, f *fakeTable) { f.commits = []fault{lostRequest, lostRequest, lostRequest} },
			after:  func(t *testing.T, f *fakeTable) { otherAccepts(t, f, "other") },
			want:   accept.Unknown, again: accept.Conflict, other: "other",
		},
		{
			name:   "write arrives after the entry gave up",
			before: func(_ *testing.T, f *fakeTable) { f.commits = []fault{delayed, delayed, delayed} },
			after:  func(_ *testing.T, f *fakeTable) { f.arrive() },
			want:   accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:   "write arrives after another's change",
			before: func(_ *testing.T, f *fakeTable) { f.commits = []fault{delayed, delayed, delayed} },
			after: func(t *testing.T, f *fakeTable) {
				otherAccepts(t, f, "other")
				f.arrive()
			},
			want: accept.Unknown, again: accept.Conflict, other: "other",
		},
		{
			name:   "table down before the change",
			before: func(_ *testing.T, f *fakeTable) { f.gets = []fault{outage} },
			want:   accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:   "table down between the reads and the write",
			before: func(_ *testing.T, f *fakeTable) { f.commits = []fault{outage, outage, outage} },
			want:   accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:   "object store down",
			before: func(_ *testing.T, f *fakeTable) { f.objectsDown = true },
			after:  func(_ *testing.T, f *fakeTable) { f.objectsDown = false },
			want:   accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:  "object store down after the change",
			after: func(_ *testing.T, f *fakeTable) { f.objectsDown = true },
			want:  accept.Accepted, again: accept.Accepted, commit: true,
		},
		{
			name:   "manifest missing at first",
			before: func(_ *testing.T, f *fakeTable) { f.missing = func() bool { return true } },
			after:  func(_ *testing.T, f *fakeTable) { f.missing = func() bool { return false } },
			want:   accept.Refused, again: accept.Refused,
		},
		{
			name: "manifest missing, and the answer lost",
			before: func(_ *testing.T, f *fakeTable) {
				f.missing = func() bool { return true }
				f.commits = []fault{lostAnswer}
				f.gets = []fault{noFault, noFault, outage}
			},
			after: func(_ *testing.T, f *fakeTable) { f.missing = func() bool { return false } },
			want:  accept.Unknown, again: accept.Refused,
		},
		{
			name: "manifest missing, and the record lost",
			before: func(_ *testing.T, f *fakeTable) {
				f.missing = func() bool { return true }
				f.commits = []fault{lostRequest}
			},
			after: func(_ *testing.T, f *fakeTable) { f.missing = func() bool { return false } },
			want:  accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name: "change ID was used for another text",
			before: func(t *testing.T, f *fakeTable) {
				otherAccepts(t, f, "mine")
			},
			want: accept.Refused, again: accept.Refused,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeTable()
			f.first(t)
			if tt.before != nil {
				tt.before(t, f)
			}
			f.afterCommit = func() {
				if during := tt.during; during != nil {
					tt.during = nil
					during(t, f)
				}
			}
			r := f.acceptor().Submit(t.Context(), change())
			require.Equal(t, tt.want, r.Outcome(), r.Reason())
			f.gets, f.commits = nil, nil
			if tt.after != nil {
				tt.after(t, f)
			}
			// A fresh acceptor stands for another entry, or for one that was
			// killed between the write and the first push.
			again := f.acceptor().Submit(t.Context(), change())
			require.Equal(t, tt.again, again.Outcome(), again.Reason())
			require.Equal(t, tt.other, again.OtherChangeID())
			if tt.commit {
				require.EqualValues(t, 2, again.Head().Revision)
				require.Equal(t, change().Config.HeadDigest(), again.Head().Digest)
			}
		})
	}
}

func TestRefused(t *testing.T) {
	tests := []struct {
		name   string
		spoil  func(*accept.Change)
		reason string
	}{
		{"another team's account", func(c *accept.Change) { c.Token = "admin" }, "may not change"},
		{"unknown token", func(c *accept.Change) { c.Token = "none" }, "belongs to no team"},
		{"empty change ID", func(c *accept.Change) { c.ID = "" }, "change ID must match"},
		{"change ID that leaves its prefix", func(c *accept.Change) { c.ID = "../head" }, "change ID must match"},
		{"base beyond the head", func(c *accept.Change) { c.Base = 9 }, "never accepted"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeTable()
			f.first(t)
			c := change()
			tt.spoil(&c)
			r := f.acceptor().Submit(t.Context(), c)
			require.Equal(t, accept.Refused, r.Outcome())
			require.Contains(t, r.Reason(), tt.reason)
			require.EqualValues(t, 1, f.head(t).Revision)
		})
	}
}

func TestHistoryAndShow(t *testing.T) {
	const revisions = 205
	f := newFakeTable()
	f.first(t)
	for n := 1; n < revisions; n++ {
		c := accept.Change{ID: fmt.Sprintf("c%d", n), Base: uint64(n), Config: textWith(n + 1), Token: "shops"}
		require.Equal(t, accept.Accepted, f.acceptor().Submit(t.Context(), c).Outcome())
	}
	a := f.acceptor()
	for _, limit := range []int{0, 1, 5, 6, 106, 1000} {
		entries, err := a.History(t.Context(), limit)
		require.NoError(t, err)
		require.Len(t, entries, min(limit, revisions))
		for i, e := range entries {
			require.EqualValues(t, revisions-i, e.Revision())
		}
	}
	entries, err := a.History(t.Context(), 1)
	require.NoError(t, err)
	require.Equal(t, []string{"account.shop"}, entries[0].ChangedSections())
	require.Equal(t, "c204", entries[0].ChangeID())
	require.Equal(t, "shops", entries[0].Team())
	head, cfg, err := a.Show(t.Context(), 17)
	require.NoError(t, err)
	require.Equal(t, "c16", head.ChangeID)
	require.True(t, cfg.Equal(textWith(17)))
	head, _, err = a.Show(t.Context(), 0)
	require.NoError(t, err)
	require.EqualValues(t, revisions, head.Revision)
	_, _, err = a.Show(t.Context(), revisions+1)
	require.ErrorIs(t, err, accept.ErrNoRevision)
}

func TestOverHTTP(t *testing.T) {
	service := standin.NewTables()
	server := httptest.NewServer(service)
	defer server.Close()
	f := newFakeTable()
	a := accept.New(accept.WithTables(tables.New(server.URL)), accept.WithObjects(f.putObject, f.getObject))
	r := a.Submit(t.Context(), accept.Change{ID: "first", Config: textWith(1), Token: "admin"})
	require.Equal(t, accept.Accepted, r.Outcome(), r.Reason())
	service.LoseAnswers(1)
	r = a.Submit(t.Context(), change())
	require.Equal(t, accept.Accepted, r.Outcome(), r.Reason())
	require.True(t, r.Repeated())
	entries, err := a.History(t.Context(), 10)
	require.NoError(t, err)
	require.Len(t, entries, 2)
	service.SetOutage(true)
	r = a.Submit(t.Context(), accept.Change{ID: "next", Base: 2, Config: textWith(3), Token: "shops"})
	require.Equal(t, accept.Unknown, r.Outcome())
	_, err = a.History(t.Context(), 10)
	require.True(t, errors.Is(err, tables.ErrUnavailable))
	require.NotErrorIs(t, err, objects.ErrUnavailable)
}
