package fleetprocess

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/watch"
	"github.com/primrosetally/primrosetally/internal/gateway"
	"github.com/primrosetally/primrosetally/internal/preview"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
	"github.com/primrosetally/primrosetally/internal/telemetry"
	"github.com/primrosetally/primrosetally/internal/transport/entries"
	"github.com/primrosetally/primrosetally/platform"
)

// Intervals and timeouts of an entry.
const (
	// removalGrace is how long missing endpoints are kept after the store has recovered.
	// Running endpoints write their rows again within two seconds.
	removalGrace = 2200 * time.Millisecond
	// operatorPollTimeout is the long-poll timeout of the operator table. It bounds the
	// age of a confirmation from the store: together with the delay of a summary, it
	// stays below the age at which other entries start to poll the store too.
	operatorPollTimeout = 750 * time.Millisecond
	// endpointsPollTimeout is the long-poll timeout of the endpoint table. It only limits
	// how long a dead connection stays undetected.
	endpointsPollTimeout = 3 * time.Second
	// endpointsCoalesceDelay is the delay between polls, which combines the changes of a
	// second into a few calls. It is well below the two seconds for which a draining
	// endpoint continues to serve requests.
	endpointsCoalesceDelay = 400 * time.Millisecond
	// discoverInterval is the interval at which one entry of a region reads the entry
	// table, to find entries that are unknown to the seeds and peers.
	discoverInterval = 12 * time.Second
	// minDiscoverRetry is the first retry delay. It doubles with each failure up to
	// maxDiscoverRetry, so that the entries of a fleet do not overload a store that is
	// unavailable.
	minDiscoverRetry = 300 * time.Millisecond
	maxDiscoverRetry = 2400 * time.Millisecond
	// drainTime is how long a draining entry still accepts requests, for callers that
	// use cached addresses.
	drainTime = 2800 * time.Millisecond
	// exitMargin is the part of the stop timeout that is reserved for the exit of the
	// process.
	exitMargin = 700 * time.Millisecond
	// answerMargin is the part of the stop timeout before exitMargin that is reserved for
	// the final responses to requests that a planned stop ends.
	answerMargin = 250 * time.Millisecond
)

// entryRow is the row that an entry writes to the store about itself.
type entryRow struct {
	PeerAddress string `json:"peerAddress"`
}

// Entry is a running entry.
type Entry struct {
	*process
	gateway *gateway.Gateway
	tables  *cachedTables
	conn    *entries.Conn

	// rows are the endpoint rows, kept because they are decoded again when the
	// configuration changes.
	rowsMu       sync.Mutex
	rows         map[string]watch.Row
	decoder      platform.EndpointDecoder
	endpointRows rowReports
	entryRows    rowReports
	weightsRows  rowReports
}

// RunEntry runs an entry until ctx is done or a listener fails, and then drains it. It
// returns the error of the listener.
func RunEntry(ctx context.Context, s *platform.Settings, logger *slog.Logger) error {
	conn, err := entries.Listen(s.ListenAddress(s.PeerAddress()))
	if err != nil {
		return err
	}
	e := &Entry{process: newProcess(s, logger), conn: conn, tables: &cachedTables{client: entries.NewClient()}}
	watchOperator := watch.WithActive(func() bool { return e.gateway.Watching() })
	retryDelay := watch.WithMinRetryDelay(func() time.Duration { return e.gateway.StoreRetryDelay() })
	e.tables.operator = e.newWatcher(platform.TableOperator, e.applyOperator, watch.WithLongPollTimeout(operatorPollTimeout), watchOperator, retryDelay)
	e.tables.endpoints = e.newWatcher(platform.TableEndpoints, e.applyEndpoints, retryDelay, watch.WithLongPollTimeout(endpointsPollTimeout), watch.WithCoalesceDelay(endpointsCoalesceDelay), watch.WithRemovalGrace(removalGrace),
		watch.WithActive(func() bool { return e.gateway.WatchingEndpoints() }),
		watch.WithRecoveredAt(func() time.Duration { return e.gateway.LastStoreOutage() }))
	e.gateway = e.newGateway()
	if err := e.listen(); err != nil {
		return err
	}
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopped := []<-chan struct{}{
		e.tables.operator.Run(workCtx), e.tables.endpoints.Run(workCtx), e.gateway.Start(workCtx), e.receive(workCtx), e.discover(workCtx),
	}
	telemetry.ProcessStarted.Log(ctx, e.logger, "role", "entry", "address", s.CallerAddress())
	select {
	case <-ctx.Done():
	case err = <-e.listenerErrors:
	}
	e.stop(ctx)
	e.logRequests(ctx)
	cancel()
	for _, done := range stopped {
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
		gateway.WithTables(e.tables.state, e.tables.fetch),
		gateway.WithAgents(s.PeerAddressOfEndpoint, s.RegionOf),
		gateway.WithConfirmation(e.tables.operator.Table().Confirmed, s.RevocationBound()),
		gateway.WithVersionBound(s.VersionBound(), e.recordTargetVersion),
		gateway.WithMemory(s.MemoryBytes()),
		gateway.WithRetries(s.RetryRatio(), s.RetryReserve()),
		gateway.WithColdBound(s.ColdBound()),
		gateway.WithMaxTTL(s.MaxAddressTTL()))
}

func (e *Entry) listen() error {
	s := e.settings
	if err := e.serve(s.CallerAddress(), e.gateway, e.withUnreadReports); err != nil {
		return err
	}
	if err := e.serve(s.ReadyAddress(), platform.ReadyHandler(e.gateway.Ready)); err != nil {
		return err
	}
	if err := e.serve(s.DirectoryAddress(), platform.DirectoryHandler(e.gateway.Addresses)); err != nil {
		return err
	}
	peers := http.NewServeMux()
	peers.Handle(entries.NewHandler(e.tables.table, e.gateway.LiveEntries))
	if err := e.servePeers(peers); err != nil {
		return err
	}
	return e.serveMetrics(func(r *httprouter.Router) {
		r.Handler(http.MethodGet, preview.Path, preview.NewHandler(e.gateway.Preview))
	})
}

func (e *Entry) applyOperator(rows map[string]watch.Row) {
	e.decodeOperatorTable(rows, func(o platform.OperatorTable) {
		e.gateway.SetUnreadable(o.Unreadable)
		e.gateway.ApplyEvacuations(o.Evacuated)
		before := e.gateway.Configuration()
		e.gateway.ApplyConfiguration(o.Configuration, o.Versions)
		if c := e.gateway.Configuration(); c != before {
			e.reportUnknownRegions(c)
		}
	})
	e.decodeEndpoints()
	e.gateway.TableChanged()
}

// reportUnknownRegions logs the restrictions that name a region without a failure domain, or
// that can't be read, each once for a configuration.
func (e *Entry) reportUnknownRegions(c *fleet.Configuration) {
	known := e.settings.Regions()
	reported := make(map[string]bool)
	c.RestrictedRegions(func(name string, r *fleet.Regions) {
		unreadable := r.Evidence() == fleet.RegionsUnreadable
		unknown := slices.ContainsFunc(r.Names(), func(region string) bool { return !known[region] })
		if (unreadable || unknown) && !reported[name] {
			reported[name] = true
			telemetry.RegionUnknown.Log(context.Background(), e.logger, "version", c.Version(), "name", name, "regions", r.Names(), "unreadable", unreadable)
		}
	})
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
	for _, f := range e.endpointRows.update(failures) {
		telemetry.EndpointRowMalformed.Log(context.Background(), e.logger, "endpoint", f.Key, "rowVersion", f.Version, "error", f.Err)
	}
	e.gateway.ApplyEndpoints(list)
}

func (e *Entry) receive(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := e.conn.Receive(ctx, func(m *nodev1.Datagram) { e.handleDatagram(ctx, m) }, e.logDatagramError)
		if ctx.Err() == nil {
			telemetry.ListenerFailed.Log(ctx, e.logger, "address", e.settings.PeerAddress(), "error", err)
			e.listenerErrors <- err
		}
	}()
	return done
}

func (e *Entry) handleDatagram(ctx context.Context, m *nodev1.Datagram) {
	switch c := m.GetContent().(type) {
	case *nodev1.Datagram_Summary:
		e.gateway.ReceiveSummary(ctx, c.Summary)
	case *nodev1.Datagram_Notice:
		e.gateway.ReceiveNotice(ctx, c.Notice)
	case *nodev1.Datagram_QuotaReport:
		e.gateway.ReceiveQuotaReport(ctx, c.QuotaReport)
	case *nodev1.Datagram_QuotaAnnouncement:
		e.gateway.ReceiveQuotaAnnouncement(ctx, c.QuotaAnnouncement)
	case *nodev1.Datagram_QuotaGrant:
		e.gateway.ReceiveQuotaGrant(ctx, c.QuotaGrant)
	case *nodev1.Datagram_CrashReport:
		e.gateway.ReceiveCrashReport(ctx, c.CrashReport)
	}
}

// discover writes the row of this entry and periodically reads the rows of the others. It
// also reads the target versions that were set before this process started. After the store
// has come back from an older copy of itself, what this process wrote is written again.
func (e *Entry) discover(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		versionsRead, entriesRead := false, false
		retry := minDiscoverRetry
		rowEra, rowWritten := e.writeEntryRow(ctx)
		era := e.tables.operator.Table().State().Era
		if !sleep(ctx, e.gateway.StartDelay()) {
			return
		}
		for {
			now := e.tables.operator.Table().State().Era
			if now != era && era > 0 { // the first one that this process knows is not a return
				e.gateway.RecordTargets()
			}
			era = now
			versionsRead = versionsRead || e.readTargetVersions(ctx)
			if !rowWritten || rowEra < era {
				rowEra, rowWritten = e.writeEntryRow(ctx)
			}
			if !entriesRead || e.gateway.LeadsRegion() {
				entriesRead = e.readEntries(ctx)
			}
			wait := discoverInterval
			if !versionsRead || !rowWritten || !entriesRead {
				wait = retry
				retry = min(2*retry, maxDiscoverRetry)
			} else {
				retry = minDiscoverRetry
			}
			if !sleep(ctx, wait/2+rand.N(wait)) {
				return
			}
		}
	}()
	return done
}

// writeEntryRow writes the row of this entry and returns the era that it was written in.
func (e *Entry) writeEntryRow(ctx context.Context) (era int64, written bool) {
	row, err := json.Marshal(entryRow{PeerAddress: e.settings.PeerAddress()})
	if err == nil {
		era, err = e.store.Put(ctx, platform.TableEntries, e.settings.Name(), row)
	}
	if err != nil {
		telemetry.StoreLost.Log(ctx, e.logger, "table", platform.TableEntries, "error", err)
	}
	return era, err == nil
}

func (e *Entry) readEntries(ctx context.Context) bool {
	page, err := e.store.List(ctx, platform.TableEntries)
	if err != nil {
		telemetry.StoreLost.Log(ctx, e.logger, "table", platform.TableEntries, "error", err)
		return false
	}
	addresses, failures := decodeEntries(page.Rows, e.settings.PeerAddressOfEndpoint)
	for _, f := range e.entryRows.update(failures) {
		telemetry.EndpointRowMalformed.Log(ctx, e.logger, "entry", f.Key, "rowVersion", f.Version, "error", f.Err)
	}
	for _, address := range addresses {
		e.gateway.AddPeer(address)
	}
	return true
}

// decodeEntries returns the peer addresses in the rows of entries, and the rows without
// one. The function peerAddress returns the peer address of the machine that has an
// address, which it is equal to if it is one.
func decodeEntries(rows []watch.Row, peerAddress func(address string) string) (addresses []string, failures []platform.RowError) {
	for _, r := range rows {
		var row entryRow
		err := json.Unmarshal(r.Value, &row)
		if err == nil && (!platform.ValidAddress(row.PeerAddress) || peerAddress(row.PeerAddress) != row.PeerAddress) {
			err = eris.Wrapf(platform.ErrMalformed, "no peer address: %.*q", maxLoggedText, row.PeerAddress)
		}
		if err != nil {
			failures = append(failures, platform.RowError{Key: r.Key, Version: r.Version, Err: err})
			continue
		}
		addresses = append(addresses, row.PeerAddress)
	}
	return addresses, failures
}

// maxLoggedText bounds texts of a row in errors, in characters.
const maxLoggedText = 100

// stop drains the entry within the stop timeout. For drainTime it still accepts requests
// of callers with cached addresses. Then the listeners close, and requests in progress
// may continue until answerMargin and exitMargin before the end of the stop timeout.
func (e *Entry) stop(ctx context.Context) {
	limit := max(e.settings.StopTimeout()-exitMargin, time.Second)
	e.gateway.Drain(limit - answerMargin)
	telemetry.EntryLeaving.Log(ctx, e.logger, "active", e.gateway.Active())
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	end := time.AfterFunc(limit-answerMargin, e.gateway.EndRequests)
	defer end.Stop()
	sleep(shutdownCtx, min(drainTime, limit/2))
	e.gateway.StopAccepting()
	e.shutdown(shutdownCtx)
}

// logRequests logs how the requests of the entry have ended.
func (e *Entry) logRequests(ctx context.Context) {
	t := e.telemetry.Metrics().RequestCounts.Totals()
	telemetry.RequestsCounted.Log(ctx, e.logger, "read", t.Read(), "answered", t.Ended(telemetry.EndAnswered),
		"refused", t.Ended(telemetry.EndRefused), "stated", t.Ended(telemetry.EndStated), "inProgress", t.InProgress(), "missing", t.Missing())
}
