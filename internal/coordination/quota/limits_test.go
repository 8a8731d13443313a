package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

// stated is what the response to a request sent at a time states when it arrives.
type stated struct {
	sent, at time.Duration
	endpoint Endpoint
	limit    Limit
}

func TestRecord(t *testing.T) {
	a := Endpoint{Hash: 1, Started: 1000}
	for _, test := range []struct {
		name      string
		responses []stated
		subject   Endpoint
		want      Limit
	}{
		{"none", nil, a, Limit{}},
		{"named", []stated{{0, second, a, NewLimit(1.5)}}, a, NewLimit(1.5)},
		{"zero is a limit", []stated{{0, second, a, NewLimit(0)}}, a, NewLimit(0)},
		{"changed", []stated{{0, second, a, NewLimit(1)}, {2 * second, 3 * second, a, NewLimit(5)}}, a, NewLimit(5)},
		{"lifted", []stated{{0, second, a, NewLimit(1)}, {2 * second, 3 * second, a, Limit{}}}, a, Limit{}},
		{"earlier request without a limit", []stated{{0, second, a, NewLimit(1)}, {second / 2, 2 * second, a, Limit{}}}, a, NewLimit(1)},
		{"earlier request with a higher limit", []stated{{0, second, a, NewLimit(1)}, {second / 2, 2 * second, a, NewLimit(2)}}, a, NewLimit(1)},
		{"earlier request with a lower limit", []stated{{0, second, a, NewLimit(2)}, {second / 2, 2 * second, a, NewLimit(1)}}, a, NewLimit(1)},
		{"next incarnation has none", []stated{{0, second, a, NewLimit(1)}}, Endpoint{Hash: 1, Started: 2000}, Limit{}},
		{"next incarnation names one", []stated{{0, second, a, NewLimit(1)}, {0, second, Endpoint{1, 2000}, NewLimit(3)}}, Endpoint{1, 2000}, NewLimit(3)},
		{"late response of the incarnation before", []stated{{0, second, Endpoint{1, 2000}, NewLimit(1)}, {0, 2 * second, a, Limit{}}}, Endpoint{1, 2000}, NewLimit(1)},
		{"unknown start", []stated{{0, second, a, NewLimit(1)}}, Endpoint{Hash: 1}, NewLimit(1)},
		{"another endpoint", []stated{{0, second, a, NewLimit(1)}}, Endpoint{Hash: 2, Started: 1000}, Limit{}},
	} {
		l := NewLimits()
		for _, r := range test.responses {
			l.Record(r.at, r.sent, r.endpoint, r.limit)
		}
		require.Equal(t, test.want, l.Limit(test.subject), test.name)
	}
}

func TestMerge(t *testing.T) {
	a := Endpoint{Hash: 1, Started: 1000}
	for _, test := range []struct {
		name     string
		own      stated
		other    Observation
		want     Limit
		reported bool
	}{
		{"newer", stated{0, second, a, NewLimit(1)}, Observation{a, NewLimit(2), 2 * second}, NewLimit(2), true},
		{"newer and lifted", stated{0, second, a, NewLimit(1)}, Observation{a, Limit{}, 2 * second}, Limit{}, true},
		{"older", stated{0, 2 * second, a, NewLimit(1)}, Observation{a, NewLimit(2), second}, NewLimit(1), false},
		{"older and the same", stated{0, 2 * second, a, NewLimit(1)}, Observation{a, NewLimit(1), second}, NewLimit(1), true},
		{"of the incarnation before", stated{0, second, Endpoint{1, 2000}, NewLimit(1)}, Observation{a, NewLimit(2), 2 * second}, NewLimit(1), false},
	} {
		l := NewLimits()
		l.Record(test.own.at, test.own.sent, test.own.endpoint, test.own.limit)
		l.Merge(test.other)
		require.Equal(t, test.want, l.Limit(test.own.endpoint), test.name)
		require.Equal(t, test.reported, len(l.Unreported(10)) == 0, test.name)
	}
}

// A limit that was lifted is forgotten although the endpoint goes on answering.
func TestLiftedLimitExpires(t *testing.T) {
	l := NewLimits()
	e := Endpoint{Hash: 1, Started: 1000}
	l.Record(0, 0, e, NewLimit(1))
	for at := second; at < 2*liftedTTL; at += second {
		l.Record(at, at, e, Limit{})
		l.Expire(at, func(Endpoint) bool { return true })
	}
	require.True(t, l.Empty())
}

func TestExpireAndBounds(t *testing.T) {
	l := NewLimits()
	for i := range uint32(maxLimits + 10) {
		l.Record(time.Duration(i), 0, Endpoint{Hash: i + 1}, NewLimit(1))
	}
	require.Equal(t, maxLimits, l.Count())
	l.Record(second, second, Endpoint{Hash: 100}, Limit{})
	l.Expire(2*liftedTTL, func(e Endpoint) bool { return e.Hash == 100 || e.Hash == 200 })
	list, _ := l.All()
	require.Len(t, list, 1)
	require.Equal(t, uint32(200), list[0].Endpoint.Hash)
}
