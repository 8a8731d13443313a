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

func in(state rollout.State, e rollout.Endpoint) rollout.Endpoint {
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

func names(orders []rollout.Order) []string {
	list := []string{}
	for _, o := range orders {
		list = append(list, o.Endpoint)
	}
	return list
}

func TestWave(t *testing.T) {
	tests := []struct {
		name string
		in   rollout.Input
		want []string
	}{
		{"at most maxUnavailable", input(2, serving("1", "a"), serving("2", "b"), serving("3", "a"), serving("4", "b")), []string{"1", "2"}},
		{"at least one moves", input(0, serving("1", "a"), serving("2", "a")), []string{"1"}},
		{"not a whole failure domain", input(3, serving("1", "a"), serving("2", "a"), serving("3", "b"), serving("4", "b")), []string{"1", "3"}},
		{"not before its chunks are staged", input(2, unstaged(serving("1", "a")), serving("2", "a"), serving("3", "a")), []string{"2", "3"}},
		{"an endpoint that is down counts", input(1, unstaged(in(rollout.Down, serving("1", "a"))), serving("2", "a"), serving("3", "a")), []string{}},
		{"an endpoint that loads counts", input(1, in(rollout.Loading, serving("1", "a")), serving("2", "a"), serving("3", "a")), []string{}},
		{"one that leaves gets no order", input(1, in(rollout.Leaving, serving("1", "a")), serving("2", "a"), serving("3", "a")), []string{"2"}},
		{"one that restarted is loaded again", input(1, in(rollout.Down, serving("1", "a")), serving("2", "a"), serving("3", "a")), []string{"1"}},
		{"empty ones start at once", input(1, in(rollout.Empty, serving("1", "a")), in(rollout.Empty, serving("2", "a"))), []string{"1", "2"}},
		{"single endpoints of domains, one after the other", input(3, serving("1", "a"), serving("2", "b"), serving("3", "c")), []string{"1"}},
		{"no second domain goes without", input(3, in(rollout.Loading, serving("1", "a")), serving("2", "b"), serving("3", "c")), []string{}},
		{"the only endpoint of a service", input(1, serving("1", "a")), []string{"1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := rollout.New().Plan(start, tt.in)
			require.Equal(t, tt.want, names(d.Orders))
			require.False(t, d.Done)
			for _, o := range d.Orders {
				require.Equal(t, rollout.Order{Endpoint: o.Endpoint, Service: "faq", Digest: newWeights, Revision: 7, Fencing: 3}, o)
			}
		})
	}
}

func TestDependenciesMoveFirst(t *testing.T) {
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
	require.Equal(t, []string{"b"}, names(d.Orders))
	base.Digest = newWeights
	d = p.Plan(start.Add(time.Second), rollout.Input{Services: services, Endpoints: []rollout.Endpoint{writer, base}})
	require.Equal(t, []string{"w"}, names(d.Orders))
	writer.Digest = newWeights
	d = p.Plan(start.Add(time.Second), rollout.Input{Services: services, Endpoints: []rollout.Endpoint{writer, base}})
	require.True(t, d.Done)
	require.Empty(t, d.Orders)
}

func TestLostOrderIsRepeated(t *testing.T) {
	p := rollout.New(rollout.WithResendInterval(5 * time.Second))
	i := input(1, serving("1", "a"), serving("2", "a"))
	require.Equal(t, []string{"1"}, names(p.Plan(start, i).Orders))
	require.Empty(t, p.Plan(start.Add(4*time.Second), i).Orders)
	require.Equal(t, []string{"1"}, names(p.Plan(start.Add(5*time.Second), i).Orders))
}

func TestHalt(t *testing.T) {
	faulty := in(rollout.Down, serving("1", "a"))
	faulty.Fault = "engine does not serve the ordered weights"
	unloaded := in(rollout.Empty, serving("1", "a"))
	unloaded.Fault = faulty.Fault
	tests := []struct {
		name   string
		after  time.Duration
		report rollout.Endpoint
		reason string
	}{
		{"fault after the order", time.Second, faulty, faulty.Fault},
		{"down after the order", time.Second, in(rollout.Down, serving("1", "a")), "endpoint stopped serving after the order"},
		{"serves nothing after a failed load", time.Second, unloaded, faulty.Fault},
		{"loads for too long", time.Hour, in(rollout.Loading, serving("1", "a")), "endpoint does not serve the weights within the load timeout"},
		{"drains for too long", time.Hour, in(rollout.Draining, serving("1", "a")), "endpoint does not serve the weights within the load timeout"},
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
			require.Equal(t, []string{"2"}, names(d.Orders))
		})
	}
}

func TestOneFailureIsRetried(t *testing.T) {
	p := rollout.New()
	require.Equal(t, []string{"1"}, names(p.Plan(start, input(1, serving("1", "a"), serving("2", "a"))).Orders))
	failed := in(rollout.Empty, serving("1", "a"))
	failed.Fault = "engine stopped"
	d := p.Plan(start.Add(time.Second), input(1, failed, serving("2", "a")))
	require.Equal(t, []string{"1"}, names(d.Orders))
	d = p.Plan(start.Add(2*time.Second), input(1, failed, serving("2", "a")))
	require.Empty(t, d.Halts, "the report may be older than the second order")
	p.Plan(start.Add(3*time.Second), input(1, in(rollout.Loading, serving("1", "a")), serving("2", "a")))
	d = p.Plan(start.Add(4*time.Second), input(1, failed, serving("2", "a")))
	require.Len(t, d.Halts, 1)
	require.Empty(t, d.Orders)
}

// TestRolloutProperty carries out orders in any order and delay, with endpoints
// that fail by themselves and holders that are replaced, and checks after each
// step that the rules held.
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

// advance moves an ordered endpoint on by one state.
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

// checkDomains fails when the step took the last serving endpoint of a domain
// that has more than one, or left several domains without one.
func checkDomains(t *rapid.T, endpoints []rollout.Endpoint, ordered map[string]bool, took bool) {
	total := make(map[string]int)
	left := make(map[string]int)
	for _, e := range endpoints {
		total[e.FailureDomain]++
		if e.State == rollout.Serving && !ordered[e.Name] {
			left[e.FailureDomain]++
		}
	}
	without := 0
	for domain, n := range total {
		if left[domain] > 0 {
			continue
		}
		without++
		if n > 1 && took {
			t.Fatalf("%s lost its last serving endpoint", domain)
		}
	}
	if took && without > 1 {
		t.Fatalf("%d failure domains without a serving endpoint", without)
	}
}
