// Package process starts and stops one process of the system from its settings:
// the listeners, the part that all processes have in common and the role.
//
// # Usage
//
//	p, err := process.Start(settings, process.WithLogger(logger))
//	<-ctx.Done()
//	err = p.Stop(stopCtx)   // finishes the work in progress
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

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// role is what a process does besides being a node.
type role interface {
	Start(ctx context.Context) <-chan struct{}
	Leave() <-chan struct{}
	Ready() bool
}

// Process is one running process of the system.
type Process struct {
	self      member.Member
	logger    *slog.Logger
	telemetry *telemetry.Telemetry
	node      *node.Node
	role      role
	servers   []*http.Server
	cancel    context.CancelFunc
	finished  []<-chan struct{}
	failed    chan error
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

// WithTelemetry sets what the process shows of itself instead of what its
// settings ask for.
func WithTelemetry(t *telemetry.Telemetry) Option {
	return func(c *config) { c.telemetry = t }
}

// WithListeners hands over listeners that are already open. The caller listener
// is nil for agents.
func WithListeners(nodes, callers net.Listener) Option {
	return func(c *config) {
		c.nodeListener = nodes
		c.callerListener = callers
	}
}

// Start opens the listeners and starts the process.
func Start(s *settings.Settings, options ...Option) (*Process, error) {
	c := config{logger: slog.Default(), incarnation: uint64(time.Now().UnixNano())}
	for _, o := range options {
		o(&c)
	}
	if err := c.prepare(s); err != nil {
		return nil, err
	}
	p := &Process{
		self:      selfOf(s, c.incarnation),
		logger:    c.logger.With("process", s.Name()),
		telemetry: c.telemetry,
		failed:    make(chan error, 2),
	}
	p.node = node.New(p.self, platformOf(s), node.WithLogger(p.logger), node.WithTelemetry(p.telemetry))
	nodeMux, callerMux := http.NewServeMux(), http.NewServeMux()
	p.node.Register(nodeMux)
	p.role = p.newRole(s, nodeMux, callerMux)
	p.telemetry.Register(nodeMux, p.role.Ready)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.finished = append(p.finished, p.node.Start(ctx), p.role.Start(ctx))
	p.serve(c.nodeListener, nodeMux)
	if c.callerListener != nil {
		p.serve(c.callerListener, callerMux)
	}
	telemetry.ProcessStarted.Log(ctx, p.logger, "role", p.self.Role(), "address", p.self.Address(), "incarnation", p.self.Incarnation())
	return p, nil
}

// prepare sets up what may fail before anything is started.
func (c *config) prepare(s *settings.Settings) error {
	if c.telemetry == nil {
		tracing, err := tracingOf(s)
		if err != nil {
			return err
		}
		c.telemetry = telemetry.New(telemetry.WithTracing(tracing))
	}
	return c.listen(s)
}

func tracingOf(s *settings.Settings) (*telemetry.Tracing, error) {
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
	c.callerListener, err = secure(c.callerListener, s.TLS())
	return err
}

func listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	return l, eris.Wrapf(err, "listen on %s", address)
}

func selfOf(s *settings.Settings, incarnation uint64) member.Member {
	return member.New(s.Name(), s.Role(), s.Advertise().String(),
		member.WithPlace(s.Region(), s.FailureDomain()),
		member.WithService(s.Service()),
		member.WithCallerAddress(s.CallerListen().String()),
		member.WithIncarnation(incarnation),
	)
}

func platformOf(s *settings.Settings) *node.Platform {
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

// Self returns the member that the process is.
func (p *Process) Self() member.Member { return p.self }

// Node returns the common part of the process.
func (p *Process) Node() *node.Node { return p.node }

// Failed delivers the error of a listener that broke.
func (p *Process) Failed() <-chan error { return p.failed }

// Stop refuses new work, waits for the work in progress and ends the process.
// When ctx ends first, the rest is cut off and the context's error returned.
func (p *Process) Stop(ctx context.Context) error {
	var err error
	select {
	case <-p.role.Leave():
	case <-ctx.Done():
		err = ctx.Err()
	}
	// The background work ends first: it lets go of the reports that wait.
	p.cancel()
	for _, s := range p.servers {
		if shutdown := s.Shutdown(ctx); err == nil {
			err = shutdown
		}
	}
	p.end()
	if spans := p.telemetry.Shutdown(ctx); spans != nil {
		telemetry.SpansNotSent.Log(ctx, p.logger, "error", spans)
	}
	telemetry.ProcessStopped.Log(ctx, p.logger, "error", err)
	return err
}

// Kill ends the process at once, as a crash would.
func (p *Process) Kill() {
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.end()
}

func (p *Process) end() {
	p.cancel()
	for _, done := range p.finished {
		<-done
	}
	p.node.Pool().Close()
}
