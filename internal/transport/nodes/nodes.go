// Package nodes holds the clients by which the processes of the system call
// each other, one per peer address.
//
// Attempts and chunks go over HTTP/1.1, one exchange a connection, so that a chunk
// and a live answer never share a connection's flow control. The small messages of
// control go over one HTTP/2 connection a peer, whose compressed headers are a
// tenth of those of HTTP/1.1.
//
// All messages are POSTs without an Idempotency-Key header, so net/http never sends
// one twice: it replays a request only if no byte of it was written or if the peer
// reported that it did not process it.
//
// # Usage
//
//	pool := nodes.NewPool(nodes.WithDialTimeout(time.Second))
//	agent := pool.Agent("127.0.0.1:7101")
//	stream, err := agent.Attempt(ctx, connect.NewRequest(request))
package nodes

import (
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/transport/tcp"
)

// Defaults of the transport.
const (
	defaultDialTimeout  = time.Second
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 64
	bufferSize          = 64 << 10 // bytes
	// maxUnread bounds what a peer sends ahead of its reader on one call for control, in bytes.
	maxUnread   = 256 << 10
	pingAfter   = 15 * time.Second
	pingTimeout = 5 * time.Second
)

// plainBytes keeps the answers of agents uncompressed. Weights do not compress,
// and compression of each message would cost most of the processor time of a
// transfer. Configurations, which do compress, go through NodeService.
var plainBytes = connect.WithAcceptCompression("gzip", nil, nil)

// Pool returns clients by peer address. It is safe for concurrent use.
type Pool struct {
	maxReport int // bytes
	data      *http.Client
	control   *http.Client
	options   []connect.ClientOption
	agents    sync.Map // address to nodev1connect.AgentServiceClient over data
	reports   sync.Map // address to nodev1connect.AgentServiceClient over control
	nodes     sync.Map // address to nodev1connect.NodeServiceClient over control
}

type config struct {
	dialTimeout time.Duration
	idle        time.Duration
	pingAfter   time.Duration
	pingTimeout time.Duration
	maxMessage  int // bytes
	maxReport   int // bytes
	options     []connect.ClientOption
}

// Option sets a property of a pool.
type Option func(*config)

// WithDialTimeout bounds the time to connect to a peer.
func WithDialTimeout(d time.Duration) Option {
	return func(c *config) { c.dialTimeout = d }
}

// WithIdle sets how long a connection for control without calls is kept.
func WithIdle(d time.Duration) Option {
	return func(c *config) { c.idle = d }
}

// WithPing sets the silence after which a connection for control is pinged, and how
// long the answer may take before it is closed.
func WithPing(after, timeout time.Duration) Option {
	return func(c *config) { c.pingAfter, c.pingTimeout = after, timeout }
}

// WithMaxMessages bounds a message of a peer, and a report or chunk map of an agent, in bytes;
// the default is tcp.MaxMessage for both.
func WithMaxMessages(message, report int) Option {
	return func(c *config) { c.maxMessage, c.maxReport = message, report }
}

// WithClientOptions adds options, such as interceptors, to every client.
func WithClientOptions(options ...connect.ClientOption) Option {
	return func(c *config) { c.options = append(c.options, options...) }
}

// NewPool returns an empty pool.
func NewPool(options ...Option) *Pool {
	c := config{dialTimeout: defaultDialTimeout, idle: idleConnTimeout, pingAfter: pingAfter, pingTimeout: pingTimeout, maxMessage: tcp.MaxMessage, maxReport: tcp.MaxMessage}
	for _, o := range options {
		o(&c)
	}
	dialer := &net.Dialer{Timeout: c.dialTimeout}
	return &Pool{
		maxReport: c.maxReport,
		data:      &http.Client{Transport: newTransport(dialer)},
		control:   &http.Client{Transport: newControlTransport(dialer, c)},
		options:   append([]connect.ClientOption{connect.WithReadMaxBytes(c.maxMessage)}, c.options...),
	}
}

func newTransport(dialer *net.Dialer) *http.Transport {
	t := tcp.NewTransport(dialer)
	t.MaxIdleConnsPerHost = maxIdleConnsPerHost
	t.IdleConnTimeout = idleConnTimeout
	t.ReadBufferSize = bufferSize
	t.WriteBufferSize = bufferSize
	return t
}

// newControlTransport returns a transport that uses HTTP/2 alone. It pings a
// connection that has been silent, so that a peer that was cut off is noticed.
func newControlTransport(dialer *net.Dialer, c config) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	t := tcp.NewTransport(dialer)
	t.IdleConnTimeout = c.idle
	t.Protocols = &protocols
	t.HTTP2 = &http.HTTP2Config{
		SendPingTimeout:           c.pingAfter,
		PingTimeout:               c.pingTimeout,
		MaxReceiveBufferPerStream: maxUnread,
	}
	return t
}

// ServerProtocols returns the protocols that a listener for the processes of the
// system uses.
func ServerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}

// Agent returns the client for attempts, orders and chunks of the agent that
// listens at address.
func (p *Pool) Agent(address string) nodev1connect.AgentServiceClient {
	return p.agentClient(&p.agents, p.data, address, plainBytes)
}

// AgentControl returns the client for the reports and chunk maps of the agent that
// listens at address.
func (p *Pool) AgentControl(address string) nodev1connect.AgentServiceClient {
	return p.agentClient(&p.reports, p.control, address, plainBytes, connect.WithReadMaxBytes(p.maxReport))
}

func (p *Pool) agentClient(known *sync.Map, client *http.Client, address string, more ...connect.ClientOption) nodev1connect.AgentServiceClient {
	if c, ok := known.Load(address); ok {
		return c.(nodev1connect.AgentServiceClient)
	}
	options := append(p.options[:len(p.options):len(p.options)], more...)
	c := nodev1connect.NewAgentServiceClient(client, "http://"+address, options...)
	kept, _ := known.LoadOrStore(address, c)
	return kept.(nodev1connect.AgentServiceClient)
}

// Node returns the client of the process that listens at address.
func (p *Pool) Node(address string) nodev1connect.NodeServiceClient {
	if c, ok := p.nodes.Load(address); ok {
		return c.(nodev1connect.NodeServiceClient)
	}
	c := nodev1connect.NewNodeServiceClient(p.control, "http://"+address, p.options...)
	kept, _ := p.nodes.LoadOrStore(address, c)
	return kept.(nodev1connect.NodeServiceClient)
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.data.CloseIdleConnections()
	p.control.CloseIdleConnections()
}
