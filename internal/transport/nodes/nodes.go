// Package nodes holds the clients by which the processes of the system call
// each other, one per peer address.
//
// The transport speaks HTTP/1.1 and carries connect messages by POST without an
// Idempotency-Key header, so net/http never sends one message twice: it replays
// a request only if no byte of it was written.
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
)

// Defaults of the transport.
const (
	defaultDialTimeout  = time.Second
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 64
	bufferSize          = 64 << 10 // bytes
)

// plainBytes keeps the answers of agents uncompressed. Weights do not compress,
// and compression of each message would cost most of the processor time of a
// transfer. Configurations, which do compress, go through NodeService.
var plainBytes = connect.WithAcceptCompression("gzip", nil, nil)

// Pool returns clients by peer address. It is safe for concurrent use.
type Pool struct {
	client  *http.Client
	options []connect.ClientOption
	agents  sync.Map // address to nodev1connect.AgentServiceClient
	nodes   sync.Map // address to nodev1connect.NodeServiceClient
}

type config struct {
	dialTimeout time.Duration
	options     []connect.ClientOption
}

// Option sets a property of a pool.
type Option func(*config)

// WithDialTimeout bounds the time to connect to a peer.
func WithDialTimeout(d time.Duration) Option {
	return func(c *config) { c.dialTimeout = d }
}

// WithClientOptions adds options, such as interceptors, to every client.
func WithClientOptions(options ...connect.ClientOption) Option {
	return func(c *config) { c.options = append(c.options, options...) }
}

// NewPool returns an empty pool.
func NewPool(options ...Option) *Pool {
	c := config{dialTimeout: defaultDialTimeout}
	for _, o := range options {
		o(&c)
	}
	dialer := &net.Dialer{Timeout: c.dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
	}
	return &Pool{client: &http.Client{Transport: transport}, options: c.options}
}

// Agent returns the client of the agent that listens at address.
func (p *Pool) Agent(address string) nodev1connect.AgentServiceClient {
	if c, ok := p.agents.Load(address); ok {
		return c.(nodev1connect.AgentServiceClient)
	}
	c := nodev1connect.NewAgentServiceClient(p.client, "http://"+address, append(p.options[:len(p.options):len(p.options)], plainBytes)...)
	kept, _ := p.agents.LoadOrStore(address, c)
	return kept.(nodev1connect.AgentServiceClient)
}

// Node returns the client of the process that listens at address.
func (p *Pool) Node(address string) nodev1connect.NodeServiceClient {
	if c, ok := p.nodes.Load(address); ok {
		return c.(nodev1connect.NodeServiceClient)
	}
	c := nodev1connect.NewNodeServiceClient(p.client, "http://"+address, p.options...)
	kept, _ := p.nodes.LoadOrStore(address, c)
	return kept.(nodev1connect.NodeServiceClient)
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.client.CloseIdleConnections()
}
