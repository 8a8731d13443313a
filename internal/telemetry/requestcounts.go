package telemetry

import (
	"maps"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// EndClass says what a caller knows at the end of its request.
type EndClass string

// Classes of ends.
const (
	// EndAnswered is a whole response of an endpoint.
	EndAnswered EndClass = "answered"
	// EndRefused is a whole response that promises that the request did not run.
	EndRefused EndClass = "refused"
	// EndStated is any other end with a cause.
	EndStated EndClass = "stated"
	// EndUnstated is an end for which no cause is known. There should be none.
	EndUnstated EndClass = "unstated"
)

// RequestEnd is a way in which requests end.
type RequestEnd struct {
	class   EndClass
	outcome string
	cause   string
}

// NewRequestEnd returns a way in which requests end. The texts become labels, so there must
// be few of them.
func NewRequestEnd(class EndClass, outcome, cause string) RequestEnd {
	return RequestEnd{class: class, outcome: outcome, cause: cause}
}

// Class returns the class.
func (e RequestEnd) Class() EndClass { return e.class }

// RequestCounts counts the requests of an entry. At any time, every request that was read is
// either in progress or has ended once, with a cause if it was neither answered nor refused.
// It is a prometheus.Collector, whose metrics are of one moment. It is safe for concurrent
// use.
type RequestCounts struct {
	mu         sync.Mutex
	read       int64
	inProgress int64
	ends       map[RequestEnd]int64
}

func newRequestCounts() *RequestCounts {
	return &RequestCounts{ends: make(map[RequestEnd]int64)}
}

// Begin counts a request that was read. Its End must be called exactly once.
func (c *RequestCounts) Begin() *CountedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read++
	c.inProgress++
	return &CountedRequest{counts: c}
}

// CountedRequest is one request of RequestCounts.
type CountedRequest struct {
	counts *RequestCounts
	ended  bool
}

// End counts the end of the request. A second end is counted as well, so that it shows in
// the totals.
func (r *CountedRequest) End(e RequestEnd) {
	c := r.counts
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[e]++
	if !r.ended {
		r.ended = true
		c.inProgress--
	}
}

// Totals returns the counts of this moment.
func (c *RequestCounts) Totals() RequestTotals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return RequestTotals{read: c.read, inProgress: c.inProgress, ends: maps.Clone(c.ends)}
}

// RequestTotals are the counts of requests at one moment.
type RequestTotals struct {
	read       int64
	inProgress int64
	ends       map[RequestEnd]int64
}

// Read returns the number of requests that were read.
func (t RequestTotals) Read() int64 { return t.read }

// InProgress returns the number of requests that have not ended.
func (t RequestTotals) InProgress() int64 { return t.inProgress }

// Ended returns the number of ends of a class.
func (t RequestTotals) Ended(class EndClass) int64 {
	n := int64(0)
	for e, count := range t.ends {
		if e.class == class {
			n += count
		}
	}
	return n
}

// Count returns the number of ends of one way.
func (t RequestTotals) Count(e RequestEnd) int64 { return t.ends[e] }

// Missing returns the number of requests that were read, but are neither in progress nor
// answered, refused or ended with a cause. It is 0 unless the entry is at fault, and negative
// if requests ended twice.
func (t RequestTotals) Missing() int64 {
	return t.read - t.inProgress - t.Ended(EndAnswered) - t.Ended(EndRefused) - t.Ended(EndStated)
}

// Metrics of RequestCounts.
var (
	requestsRead       = prometheus.NewDesc(namespace+"_requests_read_total", "Requests whose head was read.", nil, nil)
	requestsInProgress = prometheus.NewDesc(namespace+"_requests_in_progress", "Requests that have not ended.", nil, nil)
	requestsMissing    = prometheus.NewDesc(namespace+"_requests_missing", "Requests that were read, but are neither in progress nor ended once with an answer, a refusal or a cause.", nil, nil)
	requestEnds        = prometheus.NewDesc(namespace+"_request_ends_total", "Ends of requests.", []string{"class", "outcome", "cause"}, nil)
)

// Describe implements prometheus.Collector.
func (c *RequestCounts) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsRead, requestsInProgress, requestsMissing, requestEnds} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (c *RequestCounts) Collect(metrics chan<- prometheus.Metric) {
	t := c.Totals()
	metrics <- prometheus.MustNewConstMetric(requestsRead, prometheus.CounterValue, float64(t.read))
	metrics <- prometheus.MustNewConstMetric(requestsInProgress, prometheus.GaugeValue, float64(t.inProgress))
	metrics <- prometheus.MustNewConstMetric(requestsMissing, prometheus.GaugeValue, float64(t.Missing()))
	for e, n := range t.ends {
		metrics <- prometheus.MustNewConstMetric(requestEnds, prometheus.CounterValue, float64(n), string(e.class), e.outcome, e.cause)
	}
}
