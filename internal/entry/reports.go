package entry

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc/pool"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Intervals and bounds of the collection of reports.
const (
	reportInterval = 250 * time.Millisecond
	reportTimeout  = time.Second
	maxReports     = 32
)

// endpoint is one agent with its last report; the report is nil if the agent did
// not answer.
type endpoint struct {
	member member.Member
	report *nodev1.EndpointReport
}

// admits reports whether the endpoint admitted attempts when it last reported.
func (e endpoint) admits() bool {
	return e.report.GetState() == nodev1.EndpointState_ENDPOINT_STATE_SERVING && e.member.State() == member.StateLive
}

// reports publishes the last reports of the agents.
type reports struct {
	endpoints atomic.Pointer[[]endpoint]
}

func (r *reports) of(service string) []endpoint {
	var list []endpoint
	for _, p := range *r.endpoints.Load() {
		if p.member.Service() == service {
			list = append(list, p)
		}
	}
	return list
}

func (e *Entry) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		e.collectReports(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) collectReports(ctx context.Context) {
	collect := pool.NewWithResults[endpoint]().WithMaxGoroutines(maxReports)
	for _, m := range e.node.Members() {
		if m.Role() != member.RoleAgent {
			continue
		}
		collect.Go(func() endpoint { return endpoint{member: m, report: e.fetchReport(ctx, m)} })
	}
	list := collect.Wait()
	e.reports.endpoints.Store(&list)
	e.traffic.update(list, e.liveEntries())
}

func (e *Entry) fetchReport(ctx context.Context, m member.Member) *nodev1.EndpointReport {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := e.node.Pool().Agent(m.Address()).Report(ctx, connect.NewRequest(&nodev1.ReportRequest{}))
	if err != nil {
		return nil
	}
	return answer.Msg
}
