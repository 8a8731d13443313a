package fleetprocess

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/replica"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/chunks"
	"github.com/primrosetally/primrosetally/internal/transport/entries"
	"github.com/primrosetally/primrosetally/internal/transport/nodes"
	"github.com/primrosetally/primrosetally/internal/transport/tcp"
	"github.com/primrosetally/primrosetally/platform"
)

var (
	// errNoOrigin is returned while the configuration contains no origin.
	errNoOrigin = eris.New("configuration contains no origin of weights")
	// errNoConfiguration is returned while there is no configuration.
	errNoConfiguration = eris.New("no configuration yet")
)

// Agent is a running agent.
type Agent struct {
	*process
	engine    *platform.Engine
	replica   *replica.Replica
	pool      *nodes.Pool
	manifests *http.Client
	conn      *entries.Conn
	tables    *tableCache
	fleet     atomic.Pointer[fleet.Configuration]
	endpoints atomic.Pointer[[]*fleet.Endpoint]
	decoder   platform.EndpointDecoder // used by the endpoint watcher only
	origin    atomic.Pointer[originClient]
}

// originClient is a client of the origin at an address.
type originClient struct {
	address string
	domain  string
	engine  *platform.Engine
}

// RunAgent runs an agent until ctx is done or a listener fails; it returns the error of
// the listener.
func RunAgent(ctx context.Context, s *platform.Settings, logger *slog.Logger) error {
	conn, err := entries.Listen(s.ListenAddress(s.PeerAddress()))
	if err != nil {
		return err
	}
	a := &Agent{process: newProcess(s, logger), engine: platform.NewEngine(s.EndpointAddress()), pool: newPeerPool(), manifests: newManifestClient(), conn: conn}
	a.tables = newTableCache(a)
	self := a.memberAt(s.PeerAddress(), s.FailureDomain())
	a.replica = replica.New(self, a.callbacks(),
		replica.WithLogger(a.logger),
		replica.WithVersionBound(s.VersionBound()),
		replica.WithLink(s.LinkBytesPerSecond()))
	peers := http.NewServeMux()
	a.replica.Register(peers)
	if err := a.servePeers(peers); err != nil {
		return err
	}
	if err := a.serveMetrics(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped := []<-chan struct{}{a.tables.run(ctx), a.receive(ctx)}
	replicaStopped := a.replica.Start(ctx)
	telemetry.ProcessStarted.Log(ctx, a.logger, "role", "agent", "endpoint", s.EndpointAddress())
	select {
	case <-ctx.Done():
	case err = <-a.listenerErrors:
	}
	cancel()
	// The port is kept until the calls to the engine have ended, so that the next process of
	// this agent, which listens before it makes any, makes none beside them.
	<-replicaStopped
	if err != nil {
		return err
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancelShutdown()
	a.shutdown(shutdownCtx)
	for _, done := range stopped {
		<-done
	}
	telemetry.ProcessStopped.Log(ctx, a.logger)
	return nil
}

// Timeouts of the connections to other agents. The connections are used during a rollout,
// which takes seconds, so that a dead connection must be detected within less time.
const (
	peerIdleTimeout = 3 * time.Second
	peerPingAfter   = time.Second
	peerPingTimeout = 500 * time.Millisecond
)

func newPeerPool() *nodes.Pool {
	return nodes.NewPool(nodes.WithIdle(peerIdleTimeout), nodes.WithPing(peerPingAfter, peerPingTimeout), nodes.WithMaxMessages(maxPeerMessage, maxChunkMap))
}

// An agent has little memory, and several calls in progress at a time: what peers send without
// end must not take it.
const (
	// maxPeerMessage is above the largest chunk that an endpoint can be given, in bytes.
	maxPeerMessage = platform.MaxChunk + 64<<10
	// maxChunkMap is above the map of the largest manifest, in bytes.
	maxChunkMap = 64 << 10
	// maxTableCopy bounds a copy of a table, in bytes: the rows of some thousand endpoints. A
	// larger one is read from the store, in pages.
	maxTableCopy = 4 << 20
)

// newManifestClient returns the client with which manifests are fetched from peers.
func newManifestClient() *http.Client {
	transport := tcp.NewTransport(&net.Dialer{Timeout: fetchTimeout})
	transport.IdleConnTimeout = peerIdleTimeout
	return &http.Client{Transport: transport}
}

// receive handles the datagrams that entries send to agents.
func (a *Agent) receive(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := a.conn.Receive(ctx, func(m *nodev1.Datagram) {
			notice, ok := m.GetContent().(*nodev1.Datagram_Weights)
			if !ok {
				return
			}
			w := notice.Weights.GetWeights()
			if !ownTarget(w, a.fleet.Load(), a.settings.Service()) {
				return
			}
			a.tables.setEntries(notice.Weights.GetEntries())
			age := boottime.AgeFromMicros(w.GetAgeUs())
			a.replica.SetTarget(replica.Target{Model: w.GetModel(), Version: w.GetVersion(), Age: age, Exact: w.GetExact()})
		}, a.logDatagramError)
		if ctx.Err() == nil {
			telemetry.ListenerFailed.Log(ctx, a.logger, "address", a.settings.PeerAddress(), "error", err)
			a.listenerErrors <- err
		}
	}()
	return done
}

// ownTarget reports whether a notice names a version of a model that the agent's endpoint
// runs. Anyone may send a datagram. Before the configuration c is known, any model is
// accepted, since the agent learns of the target sooner from the notice.
func ownTarget(w *nodev1.NamedWeights, c *fleet.Configuration, service string) bool {
	if w.GetModel() == "" || !platform.ValidVersion(w.GetVersion()) {
		return false
	}
	if c == nil {
		return true
	}
	s := c.Services()[service]
	return s != nil && s.Engine() != nil && slices.Contains(s.Engine().Models, w.GetModel())
}

func (a *Agent) memberAt(address, failureDomain string) member.Member {
	return member.New(address, member.RoleAgent, address,
		member.WithPlace(a.settings.RegionOf(failureDomain), failureDomain),
		member.WithService(a.settings.Service()))
}

func (a *Agent) applyOperator(rows map[string]watch.Row) {
	a.decodeOperatorTable(rows, func(o platform.OperatorTable) {
		if o.Configuration == nil {
			return
		}
		a.fleet.Store(o.Configuration)
		a.setOrigin(o.Configuration)
		// Endpoint rows that arrived before the configuration could not be decoded.
		a.tables.endpoints.Table().Notify()
		s := o.Configuration.Services()[a.settings.Service()]
		if s == nil || s.Engine() == nil {
			return
		}
		for _, name := range s.Engine().Models {
			if v := o.Versions[name]; v > initialVersion {
				a.replica.SetTarget(replica.Target{Model: name, Version: v})
			} else {
				a.replica.SetTarget(replica.Target{Model: name, Version: initialVersion, Initial: true})
			}
		}
	})
}

// initialVersion is the version of a model before a target version is set.
const initialVersion = 1

func (a *Agent) setOrigin(c *fleet.Configuration) {
	for _, s := range c.Services() {
		address, domain := s.Origin()
		if address == "" {
			continue
		}
		if o := a.origin.Load(); o == nil || o.address != address {
			a.origin.Store(&originClient{address: address, domain: domain, engine: platform.NewEngine(address)})
		}
		return
	}
}

func (a *Agent) originEngine() (*platform.Engine, error) {
	if o := a.origin.Load(); o != nil {
		return o.engine, nil
	}
	return nil, errNoOrigin
}

func (a *Agent) originRegion() string {
	if o := a.origin.Load(); o != nil {
		return a.settings.RegionOf(o.domain)
	}
	return ""
}

// sendNotice sends a notice of the own endpoint's state to every known entry.
func (a *Agent) sendNotice(_ context.Context, name string, version int64, loading bool) {
	notice := &nodev1.EndpointNotice{
		Address: a.settings.EndpointAddress(),
		Model:   name,
		Version: version,
		Holding: loading,
	}
	m := &nodev1.Datagram{Content: &nodev1.Datagram_Notice{Notice: notice}}
	for _, address := range a.tables.entries() {
		if err := a.conn.Send(address, m); err != nil {
			a.telemetry.Metrics().SummariesNotSent.Inc()
		}
	}
}

// status returns the state of the own engine. Which layers make a version complete follows
// from the configuration, so without it no version of a model can be told.
func (a *Agent) status(ctx context.Context, name string) (replica.Status, error) {
	c := a.fleet.Load()
	if c == nil && name != "" {
		return replica.Status{}, errNoConfiguration
	}
	return a.engine.Status(ctx, name, a.layers(c))
}

// layers returns the number of layers of the own engine's model, 0 if the configuration
// does not contain it.
func (a *Agent) layers(c *fleet.Configuration) int {
	if c == nil {
		return 0
	}
	if s := c.Services()[a.settings.Service()]; s != nil && s.Engine() != nil {
		return s.Engine().Layers
	}
	return 0
}

func (a *Agent) callbacks() replica.Callbacks {
	from := &nodev1.Origin{Name: a.settings.Name()}
	return replica.Callbacks{
		Status:     a.status,
		ListStaged: a.engine.StagedChunks,
		Stage:      a.engine.Stage,
		ReadStaged: a.engine.ReadStaged,
		Load:       a.engine.Load,
		OriginManifest: func(ctx context.Context, name string, version int64) (*model.Manifest, error) {
			o, err := a.originEngine()
			if err != nil {
				return nil, err
			}
			return o.Manifest(ctx, name, version)
		},
		OriginChunk: func(ctx context.Context, name string, version int64, chunk int) (io.ReadCloser, error) {
			o, err := a.originEngine()
			if err != nil {
				return nil, err
			}
			return o.Chunk(ctx, name, version, chunk)
		},
		ListPeers:    a.peers,
		Announce:     a.sendNotice,
		OriginRegion: a.originRegion,
		PeerManifest: func(ctx context.Context, p member.Member, name string, version int64) (*model.Manifest, error) {
			ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
			defer cancel()
			return chunks.Manifest(ctx, a.manifests, p.Address(), name, version)
		},
		ChunkMap: func(ctx context.Context, p member.Member, m *model.Manifest) (swarm.Bitmap, int, error) {
			return chunks.Map(ctx, a.pool.AgentControl(p.Address()), m)
		},
		FetchPeer: func(ctx context.Context, p member.Member, d digest.Digest, offset int64) (io.ReadCloser, error) {
			return chunks.Fetch(ctx, a.pool.Agent(p.Address()), from, d, offset)
		},
	}
}

func (a *Agent) applyEndpoints(rows map[string]watch.Row) {
	c := a.fleet.Load()
	if c == nil {
		return
	}
	list, _ := a.decoder.Decode(rows, c) // malformed rows are reported by the entries
	a.endpoints.Store(&list)
}

// peers returns the agents on the machines of the own service's endpoints. Agents listen
// on the same port on every machine.
func (a *Agent) peers(ctx context.Context) ([]member.Member, error) {
	if err := a.tables.sync(ctx, nodev1.Table_TABLE_ENDPOINTS); err != nil {
		return nil, err
	}
	endpoints := a.endpoints.Load()
	if endpoints == nil {
		return nil, eris.New("endpoint table is not loaded yet")
	}
	var list []member.Member
	for _, e := range *endpoints {
		if address := a.settings.PeerAddressOfEndpoint(e.Address()); e.Service() == a.settings.Service() && address != "" {
			list = append(list, a.memberAt(address, e.FailureDomain()))
		}
	}
	return list, nil
}
