package gateway

import (
	"strconv"

	"github.com/primrosetally/primrosetally/internal/coordination/placement"
)

// maxPriorityLabel bounds the priorities that metrics tell apart. All later ones count as one.
const maxPriorityLabel = 9

func priorityLabel(p int) string { return strconv.Itoa(max(min(p, maxPriorityLabel), 0)) }

// recordRoom counts what a request of a priority got: an outcome, after a wait for room, and
// whether it left the failure domain of this entry.
func (g *Gateway) recordRoom(q *request, d placement.Decision, outcome string) {
	service := q.service.Name()
	priority := priorityLabel(q.rank.Account) + "." + priorityLabel(q.rank.Route)
	g.metrics.PriorityRequests.WithLabelValues(service, priority, outcome).Inc()
	if !d.Placed() {
		return
	}
	g.metrics.PriorityWaitSeconds.WithLabelValues(service, priority).Add(d.Waited().Seconds())
	if d.Choice().Domain != g.self.FailureDomain {
		g.metrics.RequestsLeft.WithLabelValues(service).Inc()
	}
}
