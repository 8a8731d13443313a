// Package process starts and stops one process of the system from its settings:
// its listeners, its node and its role. The node is the part that all processes
// have in common; the role is that of an entry or an agent.
//
// # Usage
//
//	p, err := process.Start(settings, process.WithLogger(logger))
//	<-ctx.Done()
//	err = p.Stop(stopCtx)   // completes the work in progress
package process

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/agent"
	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/node"
	"github.com/primrosetally/primrosetally/internal/settings"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
	"github.com/primrosetally/primrosetally/internal/transport/nodes"
)

// Limits of the HTTP servers. maxHeaderBytes is in bytes.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// role is the part of a process that differs between an entry and an agent.
type role interface {
	Start(ctx context.Context) <-chan struct{}
	Leave() <-chan struct{}
	Ready() bool
}

// Process is one running process of the system.
type Process struct {
	self           member.Member
	logger         *slog.Logger
	telemetry      *telemetry.Telemetry
	node           *node.Node
	role           role
	servers        []*http.Server
	cancel         context.CancelFunc
	backgroundDone []<-chan struct{}
	failed         chan error
}

type config struct {
	logger         *slog.Logger
	telemetry      *telemetry.Telemetry
	nodeListener   net.Listener
	callerListener net.Listener
	incarnation    uint64
}

// Option sets a property of a process.
type Option func(*config)

// WithLogger sets the logger; the default is slog.Default.
func WithLogger(l *slog.Logger) Option {
	return func(c *config) { c.logger = l }
}

// WithTelemetry sets the telemetry of the process, in place of the telemetry that
// its settings configure.
func WithTelemetry(t *telemetry.Telemetry) Option {
	return func(c *config) { c.telemetry = t }
}

// WithListeners sets listeners that are already open. The listener for callers is
// nil for an agent.
func WithListeners(nodes, callers net.Listener) Option {
	return func(c *config) {
		c.nodeListener = nodes
		c.callerListener = callers
	}
}

// Start opens the listeners and starts the process. It returns an error, and starts
// nothing, if tracing can't be set up, a listener can't be opened or the TLS
// certificate can't be loaded.
func Start(s *settings.Settings, options ...Option) (*Process, error) {
	c := config{logger: slog.Default(), incarnation: uint64(time.Now().UnixNano())}
	for _, o := range options {
		o(&c)
	}
	if err := c.prepare(s); err != nil {
		return nil, err
	}
	p := &Process{
		self:      newMember(s, c.incarnation),
		logger:    c.logger.With("process", s.Name()),
		telemetry: c.telemetry,
		failed:    make(chan error, 2),
	}
	p.node = node.New(p.self, newPlatform(s), node.WithLogger(p.logger), node.WithTelemetry(p.telemetry))
	nodeMux, callerMux := http.NewServeMux(), http.NewServeMux()
	p.node.Register(nodeMux)
	p.role = p.newRole(s, nodeMux, callerMux)
	p.telemetry.Register(nodeMux, p.role.Ready)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.backgroundDone = append(p.backgroundDone, p.node.Start(ctx), p.role.Start(ctx))
	p.serve(c.nodeListener, nodeMux)
	if c.callerListener != nil {
		p.serve(c.callerListener, callerMux)
	}
	telemetry.ProcessStarted.Log(ctx, p.logger, "role", p.self.Role(), "address", p.self.Address(), "incarnation", p.self.Incarnation())
	return p, nil
}

// prepare runs the steps that can fail, before anything is started: it sets up
// tracing and opens the listeners.
func (c *config) prepare(s *settings.Settings) error {
	if c.telemetry == nil {
		tracing, err := newTracing(s)
		if err != nil {
			return err
		}
		c.telemetry = telemetry.New(telemetry.WithTracing(tracing))
	}
	return c.listen(s)
}

func newTracing(s *settings.Settings) (*telemetry.Tracing, error) {
	switch s.Trace().Exporter() {
	case settings.ExporterStdout:
		return telemetry.NewTracing(s.Name(), telemetry.WithWriter(os.Stdout))
	case settings.ExporterFile:
		return telemetry.NewTracing(s.Name(), telemetry.WithFile(s.Trace().File()))
	case settings.ExporterOTLP:
		return telemetry.NewTracing(s.Name(), telemetry.WithOTLP(s.Trace().Endpoint()))
	default:
		return telemetry.NewTracing(s.Name())
	}
}

func (c *config) listen(s *settings.Settings) error {
	var err error
	if c.nodeListener == nil {
		if c.nodeListener, err = listen(s.Listen()); err != nil {
			return err
		}
	}
	if s.Role() == member.RoleEntry && c.callerListener == nil {
		if c.callerListener, err = listen(s.CallerListen()); err != nil {
			return err
		}
	}
	c.callerListener, err = withTLS(c.callerListener, s.TLS())
	return err
}

func listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	return l, eris.Wrapf(err, "listen on %s", address)
}

func newMember(s *settings.Settings, incarnation uint64) member.Member {
	return member.New(s.Name(), s.Role(), s.Advertise().String(),
		member.WithPlace(s.Region(), s.FailureDomain()),
		member.WithService(s.Service()),
		member.WithCallerAddress(s.CallerListen().String()),
		member.WithIncarnation(incarnation),
	)
}

func newPlatform(s *settings.Settings) *node.Platform {
	p := s.Platform()
	return node.NewPlatform(p.TablesURL(), p.ObjectsURL(), p.OriginURL(), p.MembersURL())
}

func (p *Process) newRole(s *settings.Settings, nodeMux, callerMux *http.ServeMux) role {
	if s.Role() == member.RoleAgent {
		a := agent.New(p.node, engines.New(s.EngineURL()),
			agent.WithUploadRate(float64(s.Budgets().UploadBytesPerSecond())),
			agent.WithRegionLinkRate(float64(s.Budgets().RegionLinkBytesPerSecond())))
		a.Register(nodeMux)
		return a
	}
	e := entry.New(p.node)
	e.Register(callerMux)
	return e
}

func (p *Process) serve(l net.Listener, mux *http.ServeMux) {
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         nodes.ServerProtocols(),
	}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(l); err != http.ErrServerClosed {
			telemetry.ListenerFailed.Log(context.Background(), p.logger, "address", l.Addr(), "error", err)
			p.failed <- eris.Wrap(err, "serve")
		}
	}()
}

// Self returns the process's own entry in the membership list.
func (p *Process) Self() member.Member { return p.self }

// Node returns the node of the process, the part that all processes have in common.
func (p *Process) Node() *node.Node { return p.node }

// Failed returns a channel that receives the error of each listener that failed.
func (p *Process) Failed() <-chan error { return p.failed }

// Stop rejects new work, waits for the work in progress and stops the process. If
// ctx is done first, Stop aborts the remaining work and returns the context's error.
func (p *Process) Stop(ctx context.Context) error {
	var err error
	select {
	case <-p.role.Leave():
	case <-ctx.Done():
		err = ctx.Err()
	}
	// Cancel the background work before the servers shut down: this completes the
	// pending long-poll reports, for which Shutdown would otherwise wait.
	p.cancel()
	for _, s := range p.servers {
		if shutdownErr := s.Shutdown(ctx); err == nil {
			err = shutdownErr
		}
	}
	p.closeAll()
	if flushErr := p.telemetry.Shutdown(ctx); flushErr != nil {
		telemetry.SpansNotSent.Log(ctx, p.logger, "error", flushErr)
	}
	telemetry.ProcessStopped.Log(ctx, p.logger, "error", err)
	return err
}

// Kill stops the process immediately, as a crash would.
func (p *Process) Kill() {
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.closeAll()
}

func (p *Process) closeAll() {
	p.cancel()
	for _, done := range p.backgroundDone {
		<-done
	}
	p.node.Pool().Close()
}
