// Package fleetprocess starts and stops a process of a deployment on the users'
// platform, in the role of an entry or of an agent, according to the platform's
// settings. Package platform decodes the platform's messages; the logic of the roles is
// in packages gateway and replica.
//
// # Usage
//
//	os.Exit(fleetprocess.Main(os.Args[1:], os.Stdout, os.Stderr))
package fleetprocess

import (
	"context"
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

// Limits of the listeners and of the process.
const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than any idle timeout that a configuration sets for callers.
	idleTimeout = 2 * time.Minute
	// writeTimeout ends responses that the caller does not read. Handlers of requests
	// that may take longer extend it.
	writeTimeout   = 30 * time.Second
	maxHeaderBytes = 64 << 10
	// memoryLimitFraction is the fraction of the process's memory that is set as the
	// memory limit of the Go runtime; the rest is for stacks and socket buffers.
	memoryLimitFraction = 0.6
)

// process is the common part of both roles.
type process struct {
	settings       *platform.Settings
	logger         *slog.Logger
	telemetry      *telemetry.Telemetry
	store          *platform.Store
	servers        []*http.Server
	listenerErrors chan error
	operatorRows   rowReports
}

func newProcess(s *platform.Settings, logger *slog.Logger) *process {
	if s.MemoryBytes() > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes())))
	}
	p := &process{
		settings:       s,
		logger:         logger.With("process", s.Name()),
		telemetry:      telemetry.New(),
		listenerErrors: make(chan error, 8), // at most one for each listener
	}
	p.store = platform.NewStore(s.StoreAddress(), platform.WithOnOddRow(func(table string, err error) {
		telemetry.RowNotRead.Log(context.Background(), p.logger, "table", table, "error", err)
	}))
	return p
}

// serve serves HTTP/1.1 at an address. The error of a failed listener is sent to
// listenerErrors.
func (p *process) serve(address string, handler http.Handler, options ...serverOption) error {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return p.serveProtocols(address, handler, &protocols, writeTimeout, options...)
}

// serverOption changes a server and returns the listener for use in place of l.
type serverOption func(server *http.Server, l net.Listener) net.Listener

// servePeers serves the other processes of the system at the peer address.
func (p *process) servePeers(handler http.Handler) error {
	return p.serveProtocols(p.settings.PeerAddress(), handler, nodes.ServerProtocols(), 0)
}

// serveProtocols serves the given protocols at an address; a writeTimeout of 0 stands for
// no limit.
func (p *process) serveProtocols(address string, handler http.Handler, protocols *http.Protocols, writeTimeout time.Duration, options ...serverOption) error {
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
		ErrorLog:          p.newServerLog(address),
	}
	for _, o := range options {
		l = o(server, l)
	}
	newUnusedConns(server)
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			telemetry.ListenerFailed.Log(context.Background(), p.logger, "address", address, "error", err)
			p.listenerErrors <- eris.Wrap(err, "serve")
		}
	}()
	return nil
}

// serveMetrics serves the metrics at the metrics address, and what routes adds there.
func (p *process) serveMetrics(routes ...func(*httprouter.Router)) error {
	router := httprouter.New()
	for _, add := range routes {
		add(router)
	}
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(p.telemetry.Metrics().Registry(), promhttp.HandlerOpts{}))
	return p.serve(p.settings.MetricsAddress(), router)
}

// shutdown closes the listeners and waits for their requests; requests that are still in
// progress when ctx is done are aborted.
func (p *process) shutdown(ctx context.Context) {
	for _, s := range p.servers {
		if err := s.Shutdown(ctx); err != nil {
			s.Close()
		}
	}
}

// newWatcher returns a watcher that keeps a cached table up to date with the store.
func (p *process) newWatcher(table string, apply func(rows map[string]watch.Row), options ...watch.Option) *watch.Watcher {
	source := watch.Source{
		List: func(ctx context.Context) (watch.Update, error) { return p.store.List(ctx, table) },
		Watch: func(ctx context.Context, after int64, wait time.Duration) (watch.Update, error) {
			return p.store.Watch(ctx, table, after, wait)
		},
	}
	onOutage := func(err error) {
		telemetry.StoreLost.Log(context.Background(), p.logger, "table", table, "error", err)
	}
	onRecovery := func(down time.Duration) {
		telemetry.StoreRegained.Log(context.Background(), p.logger, "table", table, "down", down)
	}
	onReplaced := func(s watch.State, from string) {
		telemetry.TableCopied.Log(context.Background(), p.logger, "table", table, "from", from, "era", s.Era, "version", s.Version,
			"rows", s.Rows, "digest", s.Digest)
	}
	onRestored := func(before, after watch.Position, from string) {
		p.telemetry.Metrics().StoreReturns.WithLabelValues(table).Inc()
		telemetry.StoreRestored.Log(context.Background(), p.logger, "table", table, "from", from, "eraBefore", before.Era,
			"versionBefore", before.Version, "era", after.Era, "version", after.Version)
	}
	return watch.New(source, append([]watch.Option{
		watch.WithOnChange(apply), watch.WithOnRestored(onRestored), watch.WithOnReplaced(onReplaced), watch.WithOutageCallbacks(onOutage, onRecovery),
	}, options...)...)
}

// logDatagramError logs a failed read of a datagram. The caller retries the read.
func (p *process) logDatagramError(err error) {
	telemetry.DatagramNotRead.Log(context.Background(), p.logger, "address", p.settings.PeerAddress(), "error", err)
}

// decodeOperatorTable decodes the operator table, logs each malformed row once and passes
// the result to apply.
func (p *process) decodeOperatorTable(rows map[string]watch.Row, apply func(platform.OperatorTable)) {
	o, _ := platform.DecodeOperatorTable(rows) // the error is that of one of the rows in Malformed
	for _, f := range p.operatorRows.update(o.Malformed) {
		telemetry.OperatorRowMalformed.Log(context.Background(), p.logger, "row", f.Key, "rowVersion", f.Version, "error", f.Err)
	}
	apply(o)
}

// sleep waits for d or until ctx is done. It reports whether it waited for d.
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
