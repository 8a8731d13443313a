package requests_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/measure/requests"
)

// BenchmarkReport writes the tables of docs/REQUESTS.md.
func BenchmarkReport(b *testing.B) {
	for range b.N {
		require.NoError(b, requests.Run().Table(os.Stdout, false))
	}
}
