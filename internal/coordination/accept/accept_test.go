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

// change returns the change that the cases of TestSubmitUnderFailures submit.
func change() accept.Change {
	return accept.Change{ID: "mine", Base: 1, Config: configWithWeight(2), Token: "shops"}
}

// acceptOther submits a change of another operator, based on the head, which must
// be accepted. It clears the pending faults first.
func acceptOther(t *testing.T, f *fakeTable, id string) {
	t.Helper()
	f.commitFaults, f.getFaults = nil, nil
	base := f.head(t).Revision
	r := f.acceptor().Submit(t.Context(), accept.Change{ID: id, Base: base, Config: configWithWeight(100 + int(base)), Token: "shops"})
	require.Equal(t, accept.Accepted, r.Outcome(), r.Reason())
}

func TestSubmitUnderFailures(t *testing.T) {
	tests := []struct {
		name string
		// before prepares the failure; during runs once, after the first transaction.
		before func(*testing.T, *fakeTable)
		during func(*testing.T, *fakeTable)
		want   accept.Outcome
		// after runs between the first and the second Submit of the change.
		// The outcome of the second must be again.
		after  func(*testing.T, *fakeTable)
		again  accept.Outcome
		other  string
		commit bool
	}{
		{name: "no failure", want: accept.Accepted, again: accept.Accepted, commit: true},
		{
			name:   "another change was accepted first",
			before: func(t *testing.T, f *fakeTable) { acceptOther(t, f, "other") },
			want:   accept.Conflict, again: accept.Conflict, other: "other",
		},
		{
			name: "two other changes were accepted first",
			before: func(t *testing.T, f *fakeTable) {
				acceptOther(t, f, "other")
				acceptOther(t, f, "later")
			},
			want: accept.Conflict, again: accept.Conflict, other: "other",
		},
		{
			name:   "response lost after the write",
			before: func(_ *testing.T, f *fakeTable) { f.commitFaults = []fault{lostResponse} },
			want:   accept.Accepted, again: accept.Accepted, commit: true,
		},
		{
			name: "response lost after the write, then reads fail",
			before: func(_ *testing.T, f *fakeTable) {
				f.commitFaults = []fault{lostResponse, outage, outage}
				f.getFaults = []fault{noFault, noFault, outage, outage, outage}
			},
			want: accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:   "response lost after the write, then another change accepted",
			before: func(_ *testing.T, f *fakeTable) { f.commitFaults = []fault{lostResponse} },
			during: func(t *testing.T, f *fakeTable) { acceptOther(t, f, "other") },
			want:   accept.Accepted, again: accept.Accepted, commit: true,
		},
		{
			name: "response lost twice in a row, then another change accepted",
			before: func(_ *testing.T, f *fakeTable) {
				f.commitFaults = []fault{lostResponse, lostResponse}
				f.getFaults = []fault{noFault, noFault, outage, outage, outage}
			},
			after: func(t *testing.T, f *fakeTable) { acceptOther(t, f, "other") },
			want:  accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:   "request lost before the write",
			before: func(_ *testing.T, f *fakeTable) { f.commitFaults = []fault{lostRequest} },
			want:   accept.Accepted, again: accept.Accepted, commit: true,
		},
		{
			name:   "request lost each time, then another change accepted",
			before: func(_ *testing.T, f *fakeTable) { f.commitFaults = []fault{lostRequest, lostRequest, lostRequest} },
			after:  func(t *testing.T, f *fakeTable) { acceptOther(t, f, "other") },
			want:   accept.Unknown, again: accept.Conflict, other: "other",
		},
		{
			name:   "write applied after the last attempt",
			before: func(_ *testing.T, f *fakeTable) { f.commitFaults = []fault{delayed, delayed, delayed} },
			after:  func(_ *testing.T, f *fakeTable) { f.applyDelayed() },
			want:   accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:   "write applied after another change was accepted",
			before: func(_ *testing.T, f *fakeTable) { f.commitFaults = []fault{delayed, delayed, delayed} },
			after: func(t *testing.T, f *fakeTable) {
				acceptOther(t, f, "other")
				f.applyDelayed()
			},
			want: accept.Unknown, again: accept.Conflict, other: "other",
		},
		{
			name:   "table unavailable before the change",
			before: func(_ *testing.T, f *fakeTable) { f.getFaults = []fault{outage} },
			want:   accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:   "table unavailable between the reads and the write",
			before: func(_ *testing.T, f *fakeTable) { f.commitFaults = []fault{outage, outage, outage} },
			want:   accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:   "object store unavailable",
			before: func(_ *testing.T, f *fakeTable) { f.objectsDown = true },
			after:  func(_ *testing.T, f *fakeTable) { f.objectsDown = false },
			want:   accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name:  "object store unavailable after the change",
			after: func(_ *testing.T, f *fakeTable) { f.objectsDown = true },
			want:  accept.Accepted, again: accept.Accepted, commit: true,
		},
		{
			name:   "manifest missing at first",
			before: func(_ *testing.T, f *fakeTable) { f.hasFaults = func() bool { return true } },
			after:  func(_ *testing.T, f *fakeTable) { f.hasFaults = func() bool { return false } },
			want:   accept.Refused, again: accept.Refused,
		},
		{
			name: "manifest missing and response lost",
			before: func(_ *testing.T, f *fakeTable) {
				f.hasFaults = func() bool { return true }
				f.commitFaults = []fault{lostResponse}
				f.getFaults = []fault{noFault, noFault, outage}
			},
			after: func(_ *testing.T, f *fakeTable) { f.hasFaults = func() bool { return false } },
			want:  accept.Unknown, again: accept.Refused,
		},
		{
			name: "manifest missing and record of the refusal lost",
			before: func(_ *testing.T, f *fakeTable) {
				f.hasFaults = func() bool { return true }
				f.commitFaults = []fault{lostRequest}
			},
			after: func(_ *testing.T, f *fakeTable) { f.hasFaults = func() bool { return false } },
			want:  accept.Unknown, again: accept.Accepted, commit: true,
		},
		{
			name: "change ID was used for another text",
			before: func(t *testing.T, f *fakeTable) {
				acceptOther(t, f, "mine")
			},
			want: accept.Refused, again: accept.Refused,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeTable()
			f.acceptFirst(t)
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
			f.getFaults, f.commitFaults = nil, nil
			if tt.after != nil {
				tt.after(t, f)
			}
			// The second Submit uses a new acceptor, as another entry would, or an
			// entry that was restarted after it was killed between the write and
			// the first push.
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

func TestSubmitRefused(t *testing.T) {
	tests := []struct {
		name   string
		modify func(*accept.Change)
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
			f.acceptFirst(t)
			c := change()
			tt.modify(&c)
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
	f.acceptFirst(t)
	for n := 1; n < revisions; n++ {
		c := accept.Change{ID: fmt.Sprintf("c%d", n), Base: uint64(n), Config: configWithWeight(n + 1), Token: "shops"}
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
	require.True(t, cfg.Equal(configWithWeight(17)))
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
	r := a.Submit(t.Context(), accept.Change{ID: "first", Config: configWithWeight(1), Token: "admin"})
	require.Equal(t, accept.Accepted, r.Outcome(), r.Reason())
	service.LoseAnswers(1)
	r = a.Submit(t.Context(), change())
	require.Equal(t, accept.Accepted, r.Outcome(), r.Reason())
	require.True(t, r.Repeated())
	entries, err := a.History(t.Context(), 10)
	require.NoError(t, err)
	require.Len(t, entries, 2)
	service.SetOutage(true)
	r = a.Submit(t.Context(), accept.Change{ID: "next", Base: 2, Config: configWithWeight(3), Token: "shops"})
	require.Equal(t, accept.Unknown, r.Outcome())
	_, err = a.History(t.Context(), 10)
	require.True(t, errors.Is(err, tables.ErrUnavailable))
	require.NotErrorIs(t, err, objects.ErrUnavailable)
}
