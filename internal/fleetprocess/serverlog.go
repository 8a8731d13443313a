package fleetprocess

import (
	"bytes"
	"context"
	"log"
	"log/slog"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

const (
	// serverLogInterval is the shortest time between two lines on faults of one kind.
	serverLogInterval = time.Second
	// maxServerText is the size in bytes up to which the text of a fault is logged.
	maxServerText = 4 << 10
)

// Kinds of faults that net/http reports.
const (
	faultPanic  = "panic"
	faultAccept = "accept"
	faultTLS    = "tls"
	// faultResponse is a response that a handler writes in a wrong way.
	faultResponse = "response"
	faultOther    = "other"
)

// serverFault identifies the kind of a fault by a part of its text. Minor ones are only counted.
type serverFault struct {
	kind  string
	text  []byte
	minor bool
}

var serverFaults = []serverFault{
	{kind: faultPanic, text: []byte("panic serving")},
	{kind: faultAccept, text: []byte("Accept error")},
	{kind: faultTLS, text: []byte("TLS handshake error"), minor: true},
	{kind: faultResponse, text: []byte("response.Write"), minor: true},
}

// serverLog counts and logs what an http.Server reports to its ErrorLog. It is an io.Writer
// of one report each, and safe for concurrent use.
type serverLog struct {
	logger  *slog.Logger
	metrics *telemetry.Metrics
	address string
	now     func() time.Time

	mu       sync.Mutex
	loggedAt map[string]time.Time // by kind
}

// newServerLog returns the ErrorLog of the server at an address.
func (p *process) newServerLog(address string) *log.Logger {
	l := &serverLog{
		logger: p.logger, metrics: p.telemetry.Metrics(), address: address,
		now: time.Now, loggedAt: make(map[string]time.Time),
	}
	return log.New(l, "", 0)
}

// Write implements io.Writer. It never fails.
func (l *serverLog) Write(text []byte) (int, error) {
	f := faultOf(text)
	l.metrics.ServerFaults.WithLabelValues(f.kind).Inc()
	if !f.minor && l.due(f.kind) {
		telemetry.ServerFailed.Log(context.Background(), l.logger, "address", l.address, "kind", f.kind,
			"error", string(bytes.TrimSpace(text[:min(len(text), maxServerText)])))
	}
	return len(text), nil
}

// due reports whether a line on a kind of fault may be logged now.
func (l *serverLog) due(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if at, logged := l.loggedAt[kind]; logged && now.Sub(at) < serverLogInterval {
		return false
	}
	l.loggedAt[kind] = now
	return true
}

func faultOf(text []byte) serverFault {
	for _, f := range serverFaults {
		if bytes.Contains(text, f.text) {
			return f
		}
	}
	return serverFault{kind: faultOther}
}
