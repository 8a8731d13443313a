package requests_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/measure/requests"
)

var short = requests.WithLength(20 * time.Second)

func TestGoodputUnderOverload(t *testing.T) {
	rows := requests.MeasureGoodput(short)
	require.NoError(t, requests.Report{Goodput: rows}.Table(os.Stdout, false))
	last := rows[len(rows)-1]
	require.EqualValues(t, 5, last.Load)
	require.GreaterOrEqual(t, last.OfPeak, 0.95)
}

func TestFairnessBetweenAccounts(t *testing.T) {
	rows := requests.MeasureFairness(short)
	require.NoError(t, requests.Report{Fairness: rows}.Table(os.Stdout, false))
	require.LessOrEqual(t, rows[1].Raise, 0.2)
	require.GreaterOrEqual(t, rows[1].SmallAnswered, 0.999)
}

func TestAffinityUsesCaches(t *testing.T) {
	rows := requests.MeasureCache(short)
	require.NoError(t, requests.Report{Cache: rows}.Table(os.Stdout, false))
	for _, other := range rows[1:] {
		require.Greater(t, rows[0].HitShare, other.HitShare, other.Policy)
		require.LessOrEqual(t, rows[0].P95Milliseconds, other.P95Milliseconds, other.Policy)
	}
}

func TestSameSeedSameFigures(t *testing.T) {
	tables := [2]bytes.Buffer{}
	for i := range tables {
		r := requests.Report{Goodput: requests.MeasureGoodput(short), Cache: requests.MeasureCache(short)}
		require.NoError(t, r.Table(&tables[i], true))
	}
	require.Equal(t, tables[0].String(), tables[1].String())
}
