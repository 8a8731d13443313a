package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/state/member"
)

func TestDeparturesAreBounded(t *testing.T) {
	leaving := func(n int) member.Member {
		return member.New(fmt.Sprint("agent-", n), member.RoleAgent, "10.0.0.1:1", member.WithIncarnation(3), member.WithState(member.StateLeaving))
	}
	d := newDepartures()
	for n := range maxDepartures {
		d.add(leaving(n))
	}
	d.add(leaving(0)) // the last one again
	d.add(leaving(maxDepartures))
	require.Len(t, d.names, maxDepartures)
	require.Len(t, d.incarnations, maxDepartures)
	for _, test := range []struct {
		number   int
		recorded bool
	}{{0, true}, {1, false}, {2, true}, {maxDepartures, true}} {
		live := leaving(test.number).With(member.WithState(member.StateLive))
		require.Equal(t, test.recorded, d.apply(live).State() == member.StateLeaving, test.number)
	}
}
