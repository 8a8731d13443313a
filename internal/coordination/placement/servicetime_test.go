package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The mean and the deviation follow the times of the last requests.
func TestServiceTime(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name       string
		times      []time.Duration // in turn
		rounds     int
		deviations int
		want       time.Duration
	}{
		{"without requests", nil, 0, 0, defaultServiceTime},
		{"without requests, with deviations", nil, 0, 4, 3 * defaultServiceTime},
		{"after the first request", []time.Duration{100 * ms}, 1, 2, 200 * ms},
		{"equal times", []time.Duration{100 * ms}, 500, 4, 100 * ms},
		{"two times", []time.Duration{500 * ms, 1500 * ms}, 500, 0, 1000 * ms},
		{"two times, with deviations", []time.Duration{500 * ms, 1500 * ms}, 500, 2, 2000 * ms},
	} {
		p := New()
		for range test.rounds {
			for _, d := range test.times {
				p.serviceTime.record(d)
			}
		}
		require.InDelta(t, test.want, p.ServiceTime(test.deviations), float64(30*ms), test.name)
	}
}
