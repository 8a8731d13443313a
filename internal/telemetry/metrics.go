package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "primrosetally"

// Buckets of durations, in seconds: from a hop on loopback to a long stream.
var durationBuckets = []float64{
	0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.37, 0.5, 1, 2, 5, 10, 30, 60, 300,
}

// Decisions of an agent on an attempt.
const (
	DecisionAdmitted = "admitted"
	DecisionRefused  = "refused"
)

// Sources of chunk bytes; SourceSent counts what went out to peers.
const (
	SourceOrigin = "origin"
	SourcePeers  = "peers"
	SourceSent   = "sent"
)

// Metrics are the metrics of one process. Labels are bounded by the
// configuration: services, outcomes and sources, never callers' text.
type Metrics struct {
	registry *prometheus.Registry

	// Requests counts callers' requests by service and final outcome.
	Requests *prometheus.CounterVec
	// RequestCounts counts the requests of an entry from their head to their end.
	RequestCounts *RequestCounts
	// RequestsNotRead counts the connections of callers that were closed between requests
	// though bytes of one had come.
	RequestsNotRead prometheus.Counter
	// ServerFaults counts the faults that HTTP servers reported, by kind.
	ServerFaults *prometheus.CounterVec
	// RequestSeconds observes the time from a request's arrival to its final
	// answer, by service.
	RequestSeconds *prometheus.HistogramVec
	// Attempts counts the attempts that an entry made, by service and result.
	Attempts *prometheus.CounterVec
	// Admissions counts an agent's decisions, by decision.
	Admissions *prometheus.CounterVec
	// DroppedParts counts parts of answers that fitted no open attempt.
	DroppedParts prometheus.Counter
	// ChunkBytes counts bytes of weights, by source.
	ChunkBytes *prometheus.CounterVec
	// CorruptChunks counts chunks that failed verification.
	CorruptChunks prometheus.Counter
	// Revision is the configuration revision in force.
	Revision prometheus.Gauge
	// SummariesNotSent counts datagrams to other entries that the socket refused.
	SummariesNotSent prometheus.Counter
	// LimitedEndpoints is the number of endpoints whose rate limit this entry knows.
	LimitedEndpoints prometheus.Gauge
	// LimitedRequests counts the requests that this entry sent to such endpoints, by
	// service.
	LimitedRequests *prometheus.CounterVec
	// QuotaFraction is the fraction of each rate limit that this entry grants.
	QuotaFraction prometheus.Gauge
	// EvacuatedDomains is the number of failure domains that operators have evacuated,
	// ColdEndpoints the number of endpoints that this entry knows to be cold.
	EvacuatedDomains prometheus.Gauge
	ColdEndpoints    prometheus.Gauge
	// PriorityRequests counts callers' requests by service, priority and final outcome, and
	// PriorityWaitSeconds sums how long those that were placed had waited for room.
	PriorityRequests    *prometheus.CounterVec
	PriorityWaitSeconds *prometheus.CounterVec
	// RequestsLeft counts the requests that were placed in another failure domain than that of
	// this entry, by service.
	RequestsLeft *prometheus.CounterVec
	// Crashes counts the crashes of endpoints that this entry has seen.
	Crashes prometheus.Counter
	// Quarantines is the number of quarantines in force, QuarantinedRequests counts the
	// requests that they refuse, by service.
	Quarantines         prometheus.Gauge
	QuarantinedRequests *prometheus.CounterVec
	// OutdatedStarts counts the responses that began on weights whose bound had passed, by
	// service.
	OutdatedStarts *prometheus.CounterVec
	// StoreReturns counts the eras of the store that a copy has entered after its first one,
	// by table.
	StoreReturns *prometheus.CounterVec
}

func newMetrics() *Metrics {
	m := &Metrics{
		registry:            prometheus.NewRegistry(),
		Requests:            counters("requests_total", "Callers' requests by final outcome.", "service", "outcome"),
		RequestCounts:       newRequestCounts(),
		RequestsNotRead:     counter("requests_not_read_total", "Connections of callers that were closed between requests though bytes of one had come."),
		ServerFaults:        counters("server_faults_total", "Faults that HTTP servers reported.", "kind"),
		RequestSeconds:      durations("request_seconds", "Time to the final answer.", "service"),
		Attempts:            counters("attempts_total", "Attempts by result.", "service", "result"),
		Admissions:          counters("admissions_total", "Decisions on attempts.", "decision"),
		DroppedParts:        counter("dropped_parts_total", "Parts of answers that fitted no open attempt."),
		ChunkBytes:          counters("chunk_bytes_total", "Bytes of weights.", "source"),
		CorruptChunks:       counter("corrupt_chunks_total", "Chunks that failed verification."),
		SummariesNotSent:    counter("summaries_not_sent_total", "Datagrams to other entries that were not sent."),
		Revision:            gauge("revision", "Configuration revision in force."),
		LimitedEndpoints:    gauge("limited_endpoints", "Endpoints with a known rate limit."),
		QuotaFraction:       gauge("quota_fraction", "Fraction of each rate limit that this entry grants."),
		EvacuatedDomains:    gauge("evacuated_domains", "Failure domains that operators have evacuated."),
		ColdEndpoints:       gauge("cold_endpoints", "Endpoints that are known to be cold."),
		PriorityRequests:    counters("priority_requests_total", "Callers' requests by priority and final outcome.", "service", "priority", "outcome"),
		PriorityWaitSeconds: counters("priority_wait_seconds_total", "Time for which placed requests had waited for room.", "service", "priority"),
		RequestsLeft:        counters("requests_left_total", "Requests placed in another failure domain.", "service"),
		Crashes:             counter("crashes_total", "Crashes of endpoints that this entry has seen."),
		Quarantines:         gauge("quarantines", "Quarantines in force."),
		QuarantinedRequests: counters("quarantined_requests_total", "Requests refused because endpoints crash under such requests.", "service"),
		OutdatedStarts:      counters("outdated_starts_total", "Responses that began on weights whose bound had passed.", "service"),
		StoreReturns:        counters("store_returns_total", "Returns of the store from an older copy of itself.", "table"),
		LimitedRequests:     counters("limited_requests_total", "Requests sent to endpoints with a known rate limit.", "service"),
	}
	m.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.Requests, m.RequestCounts, m.RequestsNotRead, m.ServerFaults, m.RequestSeconds, m.Attempts, m.Admissions, m.DroppedParts,
		m.ChunkBytes, m.CorruptChunks, m.Revision, m.SummariesNotSent,
		m.LimitedEndpoints, m.LimitedRequests, m.QuotaFraction, m.EvacuatedDomains, m.ColdEndpoints,
		m.PriorityRequests, m.PriorityWaitSeconds, m.RequestsLeft,
		m.Crashes, m.Quarantines, m.QuarantinedRequests, m.OutdatedStarts,
		m.StoreReturns,
	)
	return m
}

// Registry returns the registry, to which a package may add metrics of its own.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func durations(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: durationBuckets,
	}, labels)
}
