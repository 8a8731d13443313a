// Package fleetprocess starts and stops one process of a deployment on the users'
// platform: the entry and the agent, from the platform's settings to a running
// role. Package platform decodes what the platform says; what a role decides is in
// packages gateway and replica.
//
// # Usage
//
//	os.Exit(fleetprocess.Main(os.Args[1:], os.Stdout, os.Stderr))
package fleetprocess

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/nodes"
	"github.com/primrosetally/primrosetally/platform"
)

// Bounds of the listeners.
const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than any that a configuration grants callers.
	idleTimeout = 2 * time.Minute
	// writeTimeout ends an answer that nobody reads. A request that may take longer
	// extends it.
	writeTimeout   = 30 * time.Second
	maxHeaderBytes = 64 << 10
	// memoryShare of what the process may use is the bound that the collector
	// works towards; the rest is for stacks and for what sockets hold.
	memoryShare = 0.6
)

// process is what both roles have in common.
type process struct {
	settings  *platform.Settings
	logger    *slog.Logger
	telemetry *telemetry.Telemetry
	store     *platform.Store
	servers   []*http.Server
	failed    chan error
}

func newProcess(s *platform.Settings, logger *slog.Logger) *process {
	if s.MemoryBytes() > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes())))
	}
	return &process{
		settings:  s,
		logger:    logger.With("process", s.Name()),
		telemetry: telemetry.New(),
		store:     platform.NewStore(s.StoreAddress()),
		failed:    make(chan error, 8), // one for each listener at most
	}
}

// serve listens for what speaks HTTP/1.1 at an address; the error of a listener that
// breaks is delivered on failed.
func (p *process) serve(address string, handler http.Handler) error {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return p.serveProtocols(address, handler, &protocols, writeTimeout)
}

// servePeers listens for the other processes of the system.
func (p *process) servePeers(handler http.Handler) error {
	return p.serveProtocols(p.settings.PeerAddress(), handler, nodes.ServerProtocols(), 0)
}

// serveProtocols listens at an address; answers may take any time where writeTimeout is 0.
func (p *process) serveProtocols(address string, handler http.Handler, protocols *http.Protocols, writeTimeout time.Duration) error {
	l, err := net.Listen("tcp", p.settings.ListenAddress(address))
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		ErrorLog:          slog.NewLogLogger(slog.NewTextHandler(io.Discard, nil), slog.LevelDebug),
	}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			telemetry.ListenerFailed.Log(context.Background(), p.logger, "address", address, "error", err)
			p.failed <- eris.Wrap(err, "serve")
		}
	}()
	return nil
}

// serveMetrics serves the metrics at the address of the settings.
func (p *process) serveMetrics() error {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(p.telemetry.Metrics().Registry(), promhttp.HandlerOpts{}))
	return p.serve(p.settings.MetricsAddress(), router)
}

// shutdown ends the listeners once their requests are answered, or with ctx.
func (p *process) shutdown(ctx context.Context) {
	for _, s := range p.servers {
		if err := s.Shutdown(ctx); err != nil {
			s.Close()
		}
	}
}

// watch keeps a copy of a table of the store.
func (p *process) watch(table string, apply func(rows map[string]watch.Row), options ...watch.Option) *watch.Watcher {
	source := watch.Source{
		List: func(ctx context.Context) (watch.Update, error) { return p.store.List(ctx, table) },
		Watch: func(ctx context.Context, after int64, wait time.Duration) (watch.Update, error) {
			return p.store.Watch(ctx, table, after, wait)
		},
	}
	lost := func(err error) {
		telemetry.StoreLost.Log(context.Background(), p.logger, "table", table, "error", err)
	}
	regained := func(down time.Duration) {
		telemetry.StoreRegained.Log(context.Background(), p.logger, "table", table, "down", down)
	}
	return watch.New(source, append([]watch.Option{watch.WithOnChange(apply), watch.WithOutageCallbacks(lost, regained)}, options...)...)
}

// datagramFailed logs a reading of a datagram that failed and is tried again.
func (p *process) datagramFailed(err error) {
	telemetry.DatagramNotRead.Log(context.Background(), p.logger, "address", p.settings.PeerAddress(), "error", err)
}

// operator decodes the operators' table and hands it on.
func (p *process) operator(rows map[string]watch.Row, apply func(platform.OperatorTable)) {
	o, err := platform.DecodeOperatorTable(rows)
	if err != nil {
		telemetry.OperatorRowMalformed.Log(context.Background(), p.logger, "error", err)
	}
	apply(o)
}

// sleep waits and reports whether ctx is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
