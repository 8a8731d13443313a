package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosetally/primrosetally/internal/coordination/rollout"
	"github.com/primrosetally/primrosetally/internal/state/digest"
)

var (
	oldWeights = digest.Of([]byte("old"))
	newWeights = digest.Of([]byte("new"))
	start      = time.Unix(0, 0)
)

func serving(name, domain string) rollout.Endpoint {
	return rollout.Endpoint{
		Name: name, Service: "faq", FailureDomain: domain, State: rollout.Serving, Digest: oldWeights, Staged: newWeights,
	}
}

func inState(state rollout.State, e rollout.Endpoint) rollout.Endpoint {
	e.State = state
	e.Digest = digest.Digest{}
	return e
}

func unstaged(e rollout.Endpoint) rollout.Endpoint {
	e.Staged = oldWeights
	return e
}

func input(maxUnavailable int, endpoints ...rollout.Endpoint) rollout.Input {
	return rollout.Input{
		Revision: 7, Fencing: 3, Endpoints: endpoints,
		Services: []rollout.Service{{Name: "faq", Target: newWeights, MaxUnavailable: maxUnavailable}},
	}
}

func endpointNames(orders []rollout.Order) []string {
	list := []string{}
	for _, o := range orders {
		list = append(list, o.Endpoint)
	}
	return list
}

func TestBatchOfOrders(t *testing.T) {
	tests := []struct {
		name string
		in   rollout.Input
		want []string
	}{
		{"at most maxUnavailable", input(2, serving("1", "a"), serving("2", "b"), serving("3", "a"), serving("4", "b")), []string{"1", "2"}},
		{"at least one order for maxUnavailable 0", input(0, serving("1", "a"), serving("2", "a")), []string{"1"}},
		{"keep a serving endpoint in each failure domain", input(3, serving("1", "a"), serving("2", "a"), serving("3", "b"), serving("4", "b")), []string{"1", "3"}},
		{"no order before all chunks are staged", input(2, unstaged(serving("1", "a")), serving("2", "a"), serving("3", "a")), []string{"2", "3"}},
		{"down endpoint counts as unavailable", input(1, unstaged(inState(rollout.Down, serving("1", "a"))), serving("2", "a"), serving("3", "a")), []string{}},
		{"loading endpoint counts as unavailable", input(1, inState(rollout.Loading, serving("1", "a")), serving("2", "a"), serving("3", "a")), []string{}},
		{"no order for a leaving endpoint", input(1, inState(rollout.Leaving, serving("1", "a")), serving("2", "a"), serving("3", "a")), []string{"2"}},
		{"order for a restarted endpoint", input(1, inState(rollout.Down, serving("1", "a")), serving("2", "a"), serving("3", "a")), []string{"1"}},
		{"immediate orders for empty endpoints", input(1, inState(rollout.Empty, serving("1", "a")), inState(rollout.Empty, serving("2", "a"))), []string{"1", "2"}},
		{"domains with a single endpoint, one at a time", input(3, serving("1", "a"), serving("2", "b"), serving("3", "c")), []string{"1"}},
		{"no second domain without a serving endpoint", input(3, inState(rollout.Loading, serving("1", "a")), serving("2", "b"), serving("3", "c")), []string{}},
		{"only endpoint of a service", input(1, serving("1", "a")), []string{"1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := rollout.New().Plan(start, tt.in)
			require.Equal(t, tt.want, endpointNames(d.Orders))
			require.False(t, d.Done)
			for _, o := range d.Orders {
				require.Equal(t, rollout.Order{Endpoint: o.Endpoint, Service: "faq", Digest: newWeights, Revision: 7, Fencing: 3}, o)
			}
		})
	}
}

func TestDependenciesFirst(t *testing.T) {
	writer := serving("w", "a")
	writer.Service = "writer"
	base := serving("b", "a")
	base.Service = "base"
	services := []rollout.Service{
		{Name: "writer", Target: newWeights, DependsOn: []string{"base", "ledger"}},
		{Name: "base", Target: newWeights},
		{Name: "ledger"},
	}
	p := rollout.New()
	d := p.Plan(start, rollout.Input{Services: services, Endpoints: []rollout.Endpoint{writer, base}})
	require.Equal(t, []string{"b"}, endpointNames(d.Orders))
	base.Digest = newWeights
	d = p.Plan(start.Add(time.Second), rollout.Input{Services: services, Endpoints: []rollout.Endpoint{writer, base}})
	require.Equal(t, []string{"w"}, endpointNames(d.Orders))
	writer.Digest = newWeights
	d = p.Plan(start.Add(time.Second), rollout.Input{Services: services, Endpoints: []rollout.Endpoint{writer, base}})
	require.True(t, d.Done)
	require.Empty(t, d.Orders)
}

func TestLostOrderIsResent(t *testing.T) {
	p := rollout.New(rollout.WithResendInterval(5 * time.Second))
	i := input(1, serving("1", "a"), serving("2", "a"))
	require.Equal(t, []string{"1"}, endpointNames(p.Plan(start, i).Orders))
	require.Empty(t, p.Plan(start.Add(4*time.Second), i).Orders)
	require.Equal(t, []string{"1"}, endpointNames(p.Plan(start.Add(5*time.Second), i).Orders))
}

func TestHalt(t *testing.T) {
	faulty := inState(rollout.Down, serving("1", "a"))
	faulty.Fault = "engine does not serve the ordered weights"
	unloaded := inState(rollout.Empty, serving("1", "a"))
	unloaded.Fault = faulty.Fault
	tests := []struct {
		name   string
		after  time.Duration
		report rollout.Endpoint
		reason string
	}{
		{"fault after the order", time.Second, faulty, faulty.Fault},
		{"down after the order", time.Second, inState(rollout.Down, serving("1", "a")), "endpoint stopped serving after the order"},
		{"empty after a failed load", time.Second, unloaded, faulty.Fault},
		{"loading times out", time.Hour, inState(rollout.Loading, serving("1", "a")), "endpoint does not serve the weights within the load timeout"},
		{"draining times out", time.Hour, inState(rollout.Draining, serving("1", "a")), "endpoint does not serve the weights within the load timeout"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := rollout.New(rollout.WithHaltAfter(1))
			p.Plan(start, input(1, serving("1", "a"), serving("2", "a"), serving("3", "a")))
			bad := input(1, tt.report, serving("2", "a"), serving("3", "a"))
			d := p.Plan(start.Add(tt.after), bad)
			require.Empty(t, d.Orders)
			require.Equal(t, []rollout.Halt{{Service: "faq", Endpoint: "1", Reason: tt.reason}}, d.Halts)

			bad.Revision++
			bad.Endpoints = bad.Endpoints[1:]
			require.NotEmpty(t, p.Plan(start.Add(tt.after), bad).Halts, "an unrelated change must not end the halt")

			bad.Services[0].Section = digest.Of([]byte("changed"))
			d = p.Plan(start.Add(tt.after), bad)
			require.Empty(t, d.Halts)
			require.Equal(t, []string{"2"}, endpointNames(d.Orders))
		})
	}
}

func TestFirstFailureIsRetried(t *testing.T) {
	p := rollout.New()
	require.Equal(t, []string{"1"}, endpointNames(p.Plan(start, input(1, serving("1", "a"), serving("2", "a"))).Orders))
	failed := inState(rollout.Empty, serving("1", "a"))
	failed.Fault = "engine stopped"
	d := p.Plan(start.Add(time.Second), input(1, failed, serving("2", "a")))
	require.Equal(t, []string{"1"}, endpointNames(d.Orders))
	d = p.Plan(start.Add(2*time.Second), input(1, failed, serving("2", "a")))
	require.Empty(t, d.Halts, "the report may be older than the second order")
	p.Plan(start.Add(3*time.Second), input(1, inState(rollout.Loading, serving("1", "a")), serving("2", "a")))
	d = p.Plan(start.Add(4*time.Second), input(1, failed, serving("2", "a")))
	require.Len(t, d.Halts, 1)
	require.Empty(t, d.Orders)
}

// TestRolloutProperty executes the orders in any sequence and with any delay, while
// chunks are staged and lease holders are replaced. After each decision it checks
// the rules on staged chunks, maxUnavailable and failure domains.
func TestRolloutProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		maxUnavailable := rapid.IntRange(1, 4).Draw(t, "maxUnavailable")
		var endpoints []rollout.Endpoint
		for i := range rapid.IntRange(1, 9).Draw(t, "endpoints") {
			e := serving(fmt.Sprint(i), fmt.Sprint("domain-", i%domains))
			if rapid.Bool().Draw(t, "unstaged") {
				e = unstaged(e)
			}
			endpoints = append(endpoints, e)
		}
		p := rollout.New()
		now := start
		ordered := make(map[string]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			e := &endpoints[rapid.IntRange(0, len(endpoints)-1).Draw(t, "endpoint")]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				e.Staged = newWeights
			case 1, 2:
				advance(e, ordered)
			case 3:
				p = rollout.New()
				clear(ordered)
			case 4:
				before := unavailable(endpoints, ordered)
				d := p.Plan(now, input(maxUnavailable, endpoints...))
				for _, o := range d.Orders {
					checkOrder(t, o, endpoints)
					ordered[o.Endpoint] = true
				}
				after := unavailable(endpoints, ordered)
				if after > before && after > maxUnavailable {
					t.Fatalf("%d unavailable, at most %d allowed", after, maxUnavailable)
				}
				checkDomains(t, endpoints, ordered, after > before)
			}
		}
	})
}

// advance moves an endpoint to the next state of its switch, if it has an order or
// the switch has begun.
func advance(e *rollout.Endpoint, ordered map[string]bool) {
	switch {
	case e.State == rollout.Serving && ordered[e.Name] && e.Digest != newWeights:
		e.State = rollout.Draining
	case e.State == rollout.Draining:
		e.State = rollout.Loading
		e.Digest = digest.Digest{}
	case e.State == rollout.Loading:
		e.State = rollout.Serving
		e.Digest = newWeights
		delete(ordered, e.Name)
	}
}

func unavailable(endpoints []rollout.Endpoint, ordered map[string]bool) int {
	n := 0
	for _, e := range endpoints {
		if e.State != rollout.Serving || ordered[e.Name] {
			n++
		}
	}
	return n
}

func checkOrder(t *rapid.T, o rollout.Order, endpoints []rollout.Endpoint) {
	for _, e := range endpoints {
		if e.Name == o.Endpoint && e.Staged != o.Digest {
			t.Fatalf("endpoint %s ordered before its chunks are staged", e.Name)
		}
	}
}

// checkDomains fails the test if the decision made endpoints unavailable and a
// domain with several endpoints has none that serves, or several domains have none.
func checkDomains(t *rapid.T, endpoints []rollout.Endpoint, ordered map[string]bool, disrupted bool) {
	total := make(map[string]int)
	servingLeft := make(map[string]int)
	for _, e := range endpoints {
		total[e.FailureDomain]++
		if e.State == rollout.Serving && !ordered[e.Name] {
			servingLeft[e.FailureDomain]++
		}
	}
	unserved := 0
	for domain, n := range total {
		if servingLeft[domain] > 0 {
			continue
		}
		unserved++
		if n > 1 && disrupted {
			t.Fatalf("%s lost its last serving endpoint", domain)
		}
	}
	if disrupted && unserved > 1 {
		t.Fatalf("%d failure domains without a serving endpoint", unserved)
	}
}
