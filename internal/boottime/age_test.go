package boottime

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAgeFromMicros(t *testing.T) {
	for _, test := range []struct {
		us   uint64
		want time.Duration
	}{
		{0, 0},
		{1500, 1500 * time.Microsecond},
		{math.MaxInt64, maxAge},
		{1 << 63, maxAge},
		{math.MaxUint64, maxAge},
	} {
		require.Equal(t, test.want, AgeFromMicros(test.us), "%d", test.us)
	}
}
