package fleetprocess

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

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
	"github.com/primrosetally/primrosetally/platform"
)

// errNoOrigin is returned while the configuration names no origin.
var errNoOrigin = eris.New("configuration names no origin of weights")

// Agent is a running agent.
type Agent struct {
	*process
	engine    *platform.Engine
	replica   *replica.Replica
	pool      *nodes.Pool
	conn      *entries.Conn
	copies    *copies
	fleet     atomic.Pointer[fleet.Configuration]
	endpoints atomic.Pointer[[]*fleet.Endpoint]
	decoder   platform.EndpointDecoder // used by the watcher of endpoints alone
	origin    atomic.Pointer[originClient]
}

// originClient is the client of the origin at an address.
type originClient struct {
	address string
	domain  string
	engine  *platform.Engine
}

// RunAgent runs an agent until ctx ends.
func RunAgent(ctx context.Context, s *platform.Settings, logger *slog.Logger) error {
	conn, err := entries.Listen(s.ListenAddress(s.PeerAddress()))
	if err != nil {
		return err
	}
	a := &Agent{process: newProcess(s, logger), engine: platform.NewEngine(s.EndpointAddress()), pool: newPeerPool(), conn: conn}
	a.copies = newCopies(a)
	self := a.memberAt(s.PeerAddress(), s.FailureDomain())
	a.replica = replica.New(self, a.seams(),
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
	ended := []<-chan struct{}{a.copies.run(ctx), a.receive(ctx), a.replica.Start(ctx)}
	telemetry.ProcessStarted.Log(ctx, a.logger, "role", "agent", "endpoint", s.EndpointAddress())
	select {
	case <-ctx.Done():
	case err = <-a.failed:
		return err
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	a.shutdown(end)
	for _, done := range ended {
		<-done
	}
	telemetry.ProcessStopped.Log(ctx, a.logger)
	return nil
}

// Times of the connections to other agents. They are used while a version spreads,
// which takes seconds: one that has gone silent must show sooner.
const (
	peerIdle        = 3 * time.Second
	peerPingAfter   = time.Second
	peerPingTimeout = 500 * time.Millisecond
)

func newPeerPool() *nodes.Pool {
	return nodes.NewPool(nodes.WithIdle(peerIdle), nodes.WithPing(peerPingAfter, peerPingTimeout))
}

// receive takes in what entries tell agents.
func (a *Agent) receive(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := a.conn.Receive(ctx, func(m *nodev1.Datagram) {
			notice, ok := m.GetContent().(*nodev1.Datagram_Weights)
			if !ok {
				return
			}
			a.copies.learn(notice.Weights.GetEntries())
			w := notice.Weights.GetWeights()
			age := time.Duration(w.GetAgeUs()) * time.Microsecond
			a.replica.SetTarget(replica.Target{Model: w.GetModel(), Version: w.GetVersion(), Age: age, Exact: w.GetExact()})
		}, a.datagramFailed)
		if ctx.Err() == nil {
			telemetry.ListenerFailed.Log(ctx, a.logger, "address", a.settings.PeerAddress(), "error", err)
			a.failed <- err
		}
	}()
	return done
}

func (a *Agent) memberAt(address, failureDomain string) member.Member {
	return member.New(address, member.RoleAgent, address,
		member.WithPlace(a.settings.RegionOf(failureDomain), failureDomain),
		member.WithService(a.settings.Service()))
}

func (a *Agent) applyOperator(rows map[string]watch.Row) {
	a.operator(rows, func(o platform.OperatorTable) {
		if o.Configuration == nil {
			return
		}
		a.fleet.Store(o.Configuration)
		a.setOrigin(o.Configuration)
		// Rows of endpoints that came before could not be read.
		a.copies.listed.Table().Notify()
		s := o.Configuration.Services()[a.settings.Service()]
		if s == nil || s.Engine() == nil {
			return
		}
		for _, name := range s.Engine().Models {
			if v := o.Versions[name]; v > firstVersion {
				a.replica.SetTarget(replica.Target{Model: name, Version: v})
			} else {
				a.replica.SetTarget(replica.Target{Model: name, Version: firstVersion, Initial: true})
			}
		}
	})
}

// firstVersion is the version of a model before any is named.
const firstVersion = 1

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

// announce sends a notice to every entry that is known.
func (a *Agent) announce(_ context.Context, name string, version int64, holding bool) {
	notice := &nodev1.EndpointNotice{
		Address: a.settings.EndpointAddress(),
		Model:   name,
		Version: version,
		Holding: holding,
	}
	m := &nodev1.Datagram{Content: &nodev1.Datagram_Notice{Notice: notice}}
	for _, address := range a.copies.entries() {
		if err := a.conn.Send(address, m); err != nil {
			a.telemetry.Metrics().SummariesNotSent.Inc()
		}
	}
}

// layers returns the layers of the own engine's model, 0 if unknown.
func (a *Agent) layers() int {
	c := a.fleet.Load()
	if c == nil {
		return 0
	}
	if s := c.Services()[a.settings.Service()]; s != nil && s.Engine() != nil {
		return s.Engine().Layers
	}
	return 0
}

func (a *Agent) seams() replica.Callbacks {
	from := &nodev1.Origin{Name: a.settings.Name()}
	return replica.Callbacks{
		Status: func(ctx context.Context, name string) (replica.Status, error) {
			return a.engine.Status(ctx, name, a.layers())
		},
		ListStaged:   a.engine.StagedChunks,
		Stage:  a.engine.Stage,
		ReadStaged: a.engine.ReadStaged,
		Load:   a.engine.Load,
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
		ListPeers:        a.peers,
		Announce:     a.announce,
		OriginRegion: a.originRegion,
		PeerManifest: func(ctx context.Context, p member.Member, name string, version int64) (*model.Manifest, error) {
			ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
			defer cancel()
			return chunks.Manifest(ctx, http.DefaultClient, p.Address(), name, version)
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
	list, _ := a.decoder.Decode(rows, c) // the entries report rows that can't be read
	a.endpoints.Store(&list)
}

// peers returns the agents beside the endpoints of the own service. An agent
// listens at the same port on every machine.
func (a *Agent) peers(ctx context.Context) ([]member.Member, error) {
	if err := a.copies.sync(ctx, nodev1.Table_TABLE_ENDPOINTS); err != nil {
		return nil, err
	}
	known := a.endpoints.Load()
	if known == nil {
		return nil, eris.New("no endpoints are known yet")
	}
	var list []member.Member
	for _, e := range *known {
		if address := a.settings.PeerAddressOfEndpoint(e.Address()); e.Service() == a.settings.Service() && address != "" {
			list = append(list, a.memberAt(address, e.FailureDomain()))
		}
	}
	return list, nil
}
