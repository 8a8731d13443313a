package accept_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/primrosetally/primrosetally/internal/coordination/accept"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// largeText returns a configuration of the size that the system is designed for: 60
// services with 10 servers each and 1,000 client accounts besides account.shop, which
// has the given weight.
func largeText(weight int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, textFormat, digest.Of([]byte("admin")), digest.Of([]byte("shops")), weight)
	for i := range 60 {
		fmt.Fprintf(&text, "[service.n%d]\nteam = \"shops\"\nkind = \"model\"\nservers = 10\n", i)
		fmt.Fprintf(&text, "[[service.n%d.models]]\nname = \"m\"\nversion = \"1\"\nmanifest = \"%s\"\n", i, digest.Of([]byte("m")))
	}
	for i := range 1000 {
		fmt.Fprintf(&text, "[account.n%d]\nteam = \"shops\"\nweight = 2\nmaxInFlight = 50\n", i)
	}
	return []byte(text.String())
}

// BenchmarkSubmit measures changes of one section of largeText, from parsing the
// text to the result, with the table in memory. It reports the table reads and the
// bytes written to the table and to the object store for each change.
func BenchmarkSubmit(b *testing.B) {
	f := newFakeTable()
	var current *configtext.Config
	reads, tableBytes := 0, 0
	var objectBytes atomic.Int64
	f.beforeGet = func() { reads++ }
	commit := func(ctx context.Context, t accept.Transaction) error {
		for _, w := range t.Writes() {
			tableBytes += len(w.Value())
		}
		return f.commit(ctx, t)
	}
	put := func(ctx context.Context, key string, data []byte) error {
		objectBytes.Add(int64(len(data)))
		return f.putObject(ctx, key, data)
	}
	a := accept.New(
		accept.WithTableFuncs(f.get, f.list, commit),
		accept.WithObjects(put, f.getObject),
		accept.WithInForce(func() *configtext.Config { return current }),
	)
	submit := func(n int) {
		cfg, err := configtext.Parse("bench.toml", largeText(1+n%2))
		if err != nil {
			b.Fatal(err)
		}
		c := accept.Change{ID: fmt.Sprintf("c%d", n), Base: uint64(n), Config: cfg, Token: "shops"}
		if n == 0 {
			c.Token = "admin"
		}
		if r := a.Submit(b.Context(), c); r.Outcome() != accept.Accepted {
			b.Fatal(r.Reason())
		}
		current = cfg
	}
	submit(0)
	reads, tableBytes = 0, 0
	objectBytes.Store(0)
	n := 0
	for b.Loop() {
		n++
		submit(n)
	}
	b.ReportMetric(float64(reads)/float64(n), "tableReads/op")
	b.ReportMetric(float64(tableBytes)/float64(n), "tableBytes/op")
	b.ReportMetric(float64(objectBytes.Load())/float64(n), "objectBytes/op")
	b.ReportMetric(float64(len(current.Text())), "textBytes")
}
