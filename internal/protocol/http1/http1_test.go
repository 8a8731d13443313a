package http1

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFinalStatus(t *testing.T) {
	for _, test := range []struct {
		status int
		final  bool
	}{
		{math.MinInt, false},
		{-1, false},
		{0, false},
		{99, false},
		{100, false},
		{101, false},
		{103, false},
		{199, false},
		{200, true},
		{299, true},
		{304, true},
		{418, true},
		{599, true},
		{600, false},
		{999, false},
		{math.MaxInt, false},
	} {
		require.Equal(t, test.final, FinalStatus(test.status), test.status)
	}
}
