package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/coordination/rollout"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

func TestRolloutEndpoint(t *testing.T) {
	wanted := digest.Of([]byte("wanted"))
	live := member.New("agent-1", member.RoleAgent, "127.0.0.1:1", member.WithService("faq"), member.WithPlace("riga", "riga-a"))
	described := rollout.Endpoint{Name: "agent-1", Service: "faq", FailureDomain: "riga-a"}
	tests := []struct {
		name   string
		member member.Member
		report *nodev1.EndpointReport
		state  rollout.State
		digest digest.Digest
		staged digest.Digest
	}{
		{"no report", live, nil, rollout.Down, digest.Digest{}, digest.Digest{}},
		{"serving", live, &nodev1.EndpointReport{State: nodev1.EndpointState_ENDPOINT_STATE_SERVING, Digest: wanted.Bytes()}, rollout.Serving, wanted, digest.Digest{}},
		{
			"partly staged", live,
			&nodev1.EndpointReport{State: nodev1.EndpointState_ENDPOINT_STATE_EMPTY, WantedDigest: wanted.Bytes(), ChunksStaged: 1, ChunksTotal: 2},
			rollout.Empty,
			digest.Digest{},
			digest.Digest{},
		},
		{
			"wholly staged", live,
			&nodev1.EndpointReport{State: nodev1.EndpointState_ENDPOINT_STATE_DOWN, WantedDigest: wanted.Bytes(), ChunksStaged: 2, ChunksTotal: 2},
			rollout.Down,
			digest.Digest{},
			wanted,
		},
		{
			"leaving in the membership list", live.With(member.WithState(member.StateLeaving)),
			&nodev1.EndpointReport{State: nodev1.EndpointState_ENDPOINT_STATE_SERVING},
			rollout.Leaving,
			digest.Digest{},
			digest.Digest{},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			want := described
			want.State, want.Digest, want.Staged = tt.state, tt.digest, tt.staged
			require.Equal(t, want, rolloutEndpoint(endpoint{member: tt.member, report: tt.report}))
		})
	}
}
