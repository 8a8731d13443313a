package fleetprocess

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/gateway"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/entries"
	"github.com/primrosetally/primrosetally/platform"
)

// Times of an entry.
const (
	// lapseHold is how long after the store's return endpoints that are missing
	// are kept: they are back within two seconds, or gone.
	lapseHold = 2200 * time.Millisecond
	// operatorWait bounds the age of a confirmation from the store. With what a
	// summary takes it stays below the age at which other entries ask too.
	operatorWait = 750 * time.Millisecond
	// endpointsWait only bounds how long a dead connection goes unnoticed.
	endpointsWait = 3 * time.Second
	// endpointsPause gathers the changes of a second in a few calls. An endpoint that
	// leaves is known long before the two seconds that it goes on serving.
	endpointsPause = 400 * time.Millisecond
	// discoverInterval is how often one entry of a region reads the rows of entries,
	// for entries that no seed and no peer knows.
	discoverInterval = 12 * time.Second
	// discoverRetry doubles with each failure up to longestRetry, so that the entries of
	// a fleet do not press on a store that is away.
	discoverRetry = 300 * time.Millisecond
	longestRetry  = 2400 * time.Millisecond
	fetchTimeout  = 1500 * time.Millisecond
	// lingerTime is how long an entry that leaves still takes requests, for callers
	// that keep an older address answer. A request that came later could not be
	// answered before the process is killed.
	lingerTime = 2800 * time.Millisecond
	// stopMargin is left of the stop timeout for the end of the process.
	stopMargin = 700 * time.Millisecond
)

// entryRow is what an entry writes into the store about itself.
type entryRow struct {
	PeerAddress string `json:"peerAddress"`
}

// Entry is a running entry.
type Entry struct {
	*process
	gateway   *gateway.Gateway
	operators *watch.Watcher
	listed    *watch.Watcher
	conn      *entries.Conn
	client    *entries.Client

	// rows are kept to be decoded again when a configuration names new services.
	rowsMu  sync.Mutex
	rows    map[string]watch.Row
	decoder platform.EndpointDecoder
	faults  map[string]int64 // version of each malformed row that was reported
}

// RunEntry runs an entry until ctx ends, and then until its requests are
// answered.
func RunEntry(ctx context.Context, s *platform.Settings, logger *slog.Logger) error {
	conn, err := entries.Listen(s.ListenAddress(s.PeerAddress()))
	if err != nil {
		return err
	}
	e := &Entry{process: newProcess(s, logger), conn: conn, client: entries.NewClient(), faults: make(map[string]int64)}
	watching := watch.WithActive(func() bool { return e.gateway.Watching() })
	patience := watch.WithMinRetryDelay(func() time.Duration { return e.gateway.StoreRetryDelay() })
	e.operators = e.watch(platform.TableOperator, e.applyOperator, watch.WithLongPollTimeout(operatorWait), watching, patience)
	e.listed = e.watch(platform.TableEndpoints, e.applyEndpoints, patience, watch.WithLongPollTimeout(endpointsWait), watch.WithCoalesceDelay(endpointsPause), watch.WithRemovalGrace(lapseHold),
		watch.WithActive(func() bool { return e.gateway.WatchingEndpoints() }),
		watch.WithRecoveredAt(func() time.Duration { return e.gateway.LastStoreOutage() }))
	e.gateway = e.newGateway()
	if err := e.listen(); err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := []<-chan struct{}{
		e.operators.Run(work), e.listed.Run(work), e.gateway.Start(work), e.receive(work), e.discover(work),
	}
	telemetry.ProcessStarted.Log(ctx, e.logger, "role", "entry", "address", s.CallerAddress())
	select {
	case <-ctx.Done():
	case err = <-e.failed:
	}
	e.stop(ctx)
	cancel()
	for _, done := range ended {
		<-done
	}
	telemetry.ProcessStopped.Log(ctx, e.logger, "error", err)
	return err
}

func (e *Entry) newGateway() *gateway.Gateway {
	s := e.settings
	self := gateway.Identity{
		Name:          s.Name(),
		Region:        s.Region(),
		FailureDomain: s.FailureDomain(),
		PeerAddress:   s.PeerAddress(),
		CallerAddress: s.CallerAddress(),
		Incarnation:   uint64(time.Now().UnixNano()),
		Cores:         s.Cores(),
	}
	return gateway.New(self, platform.Codec(),
		gateway.WithLogger(e.logger),
		gateway.WithMetrics(e.telemetry.Metrics()),
		gateway.WithPeers(s.Seeds(), e.conn.Send),
		gateway.WithTables(e.content, e.syncCopy),
		gateway.WithAgents(s.PeerAddressOfEndpoint, s.RegionOf),
		gateway.WithConfirmation(e.operators.Table().Confirmed, s.RevocationBound()),
		gateway.WithVersionBound(s.VersionBound(), e.recordWeights),
		gateway.WithRetries(s.RetryRatio(), s.RetryReserve()),
		gateway.WithMaxTTL(s.MaxAddressTTL()))
}

func (e *Entry) listen() error {
	s := e.settings
	if err := e.serve(s.CallerAddress(), e.gateway); err != nil {
		return err
	}
	if err := e.serve(s.ReadyAddress(), platform.ReadyHandler(e.gateway.Ready)); err != nil {
		return err
	}
	if err := e.serve(s.DirectoryAddress(), platform.DirectoryHandler(e.gateway.Addresses)); err != nil {
		return err
	}
	peers := http.NewServeMux()
	peers.Handle(entries.NewHandler(e.copyOf, e.gateway.LiveEntries))
	if err := e.servePeers(peers); err != nil {
		return err
	}
	return e.serveMetrics()
}

func (e *Entry) applyOperator(rows map[string]watch.Row) {
	e.operator(rows, func(o platform.OperatorTable) { e.gateway.ApplyConfiguration(o.Configuration, o.Versions) })
	e.decodeEndpoints()
	e.gateway.TableChanged()
}

func (e *Entry) applyEndpoints(rows map[string]watch.Row) {
	e.rowsMu.Lock()
	e.rows = make(map[string]watch.Row, len(rows))
	for k, r := range rows {
		e.rows[k] = r
	}
	e.rowsMu.Unlock()
	e.decodeEndpoints()
	e.gateway.TableChanged()
}

func (e *Entry) decodeEndpoints() {
	e.rowsMu.Lock()
	defer e.rowsMu.Unlock()
	c := e.gateway.Configuration()
	if c == nil || e.rows == nil {
		return
	}
	list, failures := e.decoder.Decode(e.rows, c)
	for _, f := range failures {
		if e.faults[f.Key] == f.Version {
			continue
		}
		e.faults[f.Key] = f.Version
		telemetry.EndpointRowMalformed.Log(context.Background(), e.logger, "endpoint", f.Key, "rowVersion", f.Version, "error", f.Err)
	}
	e.gateway.ApplyEndpoints(list)
}

// copyOf returns the own copy of a table, nil for a table without one.
func (e *Entry) copyOf(name nodev1.Table) *watch.Table {
	switch name {
	case nodev1.Table_TABLE_OPERATOR:
		return e.operators.Table()
	case nodev1.Table_TABLE_ENDPOINTS:
		return e.listed.Table()
	}
	return nil
}

func (e *Entry) content(name nodev1.Table) int64 { return e.copyOf(name).ContentVersion() }

// syncCopy brings a copy up to date with that of another entry.
func (e *Entry) syncCopy(ctx context.Context, address string, name nodev1.Table) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return e.client.Sync(ctx, address, name, e.copyOf(name), boottime.Now)
}

func (e *Entry) receive(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := e.conn.Receive(ctx, func(m *nodev1.Datagram) { e.hear(ctx, m) }, e.datagramFailed)
		if ctx.Err() == nil {
			telemetry.ListenerFailed.Log(ctx, e.logger, "address", e.settings.PeerAddress(), "error", err)
			e.failed <- err
		}
	}()
	return done
}

func (e *Entry) hear(ctx context.Context, m *nodev1.Datagram) {
	switch c := m.GetContent().(type) {
	case *nodev1.Datagram_Summary:
		e.gateway.ReceiveSummary(ctx, c.Summary)
	case *nodev1.Datagram_Notice:
		e.gateway.ReceiveNotice(ctx, c.Notice)
	}
}

// discover writes the own row and reads those of the others now and then.
func (e *Entry) discover(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		written, weights, read := false, false, false
		retry := discoverRetry
		written = e.announce(ctx)
		if !sleep(ctx, e.gateway.StartDelay()) {
			return
		}
		for {
			weights = weights || e.readWeights(ctx)
			written = written || e.announce(ctx)
			if !read || e.gateway.LeadsRegion() {
				read = e.readEntries(ctx)
			}
			wait := discoverInterval
			if !weights || !written || !read {
				wait = retry
				retry = min(2*retry, longestRetry)
			} else {
				retry = discoverRetry
			}
			if !sleep(ctx, wait/2+rand.N(wait)) {
				return
			}
		}
	}()
	return done
}

func (e *Entry) announce(ctx context.Context) bool {
	row, err := json.Marshal(entryRow{PeerAddress: e.settings.PeerAddress()})
	if err == nil {
		err = e.store.Put(ctx, platform.TableEntries, e.settings.Name(), row)
	}
	if err != nil {
		telemetry.StoreLost.Log(ctx, e.logger, "table", platform.TableEntries, "error", err)
	}
	return err == nil
}

func (e *Entry) readEntries(ctx context.Context) bool {
	page, err := e.store.List(ctx, platform.TableEntries)
	if err != nil {
		telemetry.StoreLost.Log(ctx, e.logger, "table", platform.TableEntries, "error", err)
		return false
	}
	for _, r := range page.Rows {
		var row entryRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			telemetry.EndpointRowMalformed.Log(ctx, e.logger, "entry", r.Key, "error", err)
			continue
		}
		e.gateway.AddPeer(row.PeerAddress)
	}
	return true
}

// stop finishes the requests in progress within the stop timeout. Callers with
// old answers are served for a while; then the listeners close, whatever is in progress.
func (e *Entry) stop(ctx context.Context) {
	e.gateway.Drain()
	telemetry.EntryLeaving.Log(ctx, e.logger, "active", e.gateway.Active())
	limit := max(e.settings.StopTimeout()-stopMargin, time.Second)
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	sleep(end, min(lingerTime, limit/2))
	e.shutdown(end)
}
