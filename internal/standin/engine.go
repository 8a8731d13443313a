package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

// Defaults of an engine.
const (
	defaultCapacity     = 32
	defaultRestartDelay = 200 * time.Millisecond
	defaultCacheBlocks  = 4096
)

// PoisonMarker is the text whose presence in a prompt crashes an engine.
const PoisonMarker = "[[poison]]"

// Engine stands in for a model engine: it stages chunks, loads weights by
// order, batches requests and streams tokens that depend on the weights it
// really holds.
type Engine struct {
	faults
	settings engineSettings
	router   *httprouter.Router
	staging  *staging
	batch    *batch
	cache    *prefixCache
	loads    conc.WaitGroup
	// tokenDelay is the time from one token to the next.
	tokenDelay atomic.Int64
	held       latch

	stateMu     sync.Mutex
	life        *life
	incarnation uint64
	weights     *weights      // nil when nothing is loaded
	loading     digest.Digest // manifest ID, zero when no load is under way
	cancelLoad  context.CancelFunc
	fencing     uint64
	loadOther   int
	counts      EngineCounts
}

// EngineCounts are the counters of an engine. They survive crashes.
type EngineCounts struct {
	Runs     uint64 `json:"runs"`
	Finished uint64 `json:"finished"`
	Canceled uint64 `json:"canceled"`
	Crashes  uint64 `json:"crashes"`
	Loads    uint64 `json:"loads"`
	Tokens   uint64 `json:"tokens"`
}

// weights are what an engine has loaded.
type weights struct {
	claimed digest.Digest // manifest ID that the engine says it serves
	actual  digest.Digest // manifest ID that its tokens come from
	whole   digest.Digest // sum over the bytes that were loaded
}

type engineSettings struct {
	tokenDelay      time.Duration
	prefillDelay    time.Duration
	loadDelay       time.Duration
	restartDelay    time.Duration
	loadReportLag   time.Duration
	cacheEventLag   time.Duration
	cacheEventGaps  float64
	cacheBlocks     int
	capacity        int
	stagingCapacity int64
	honourFencing   bool
	seed            uint64
	now             func() time.Time
}

// EngineOption sets an optional property of an engine.
type EngineOption func(*engineSettings)

// WithTokenDelay sets the time from one token to the next.
func WithTokenDelay(d time.Duration) EngineOption {
	return func(s *engineSettings) { s.tokenDelay = d }
}

// WithPrefillDelay sets the time that each block of a prompt takes which is not
// in the prefix cache.
func WithPrefillDelay(d time.Duration) EngineOption {
	return func(s *engineSettings) { s.prefillDelay = d }
}

// WithLoadDelay sets the time that loading takes besides hashing the weights.
func WithLoadDelay(d time.Duration) EngineOption {
	return func(s *engineSettings) { s.loadDelay = d }
}

// WithRestartDelay sets the time from a crash to the next start.
func WithRestartDelay(d time.Duration) EngineOption {
	return func(s *engineSettings) { s.restartDelay = d }
}

// WithLoadReportLag sets the age of the numbers of running and waiting requests
// in the engine's state.
func WithLoadReportLag(d time.Duration) EngineOption {
	return func(s *engineSettings) { s.loadReportLag = d }
}

// WithCacheEvents delays cache events by lag and drops the fraction gaps of
// them.
func WithCacheEvents(lag time.Duration, gaps float64) EngineOption {
	return func(s *engineSettings) {
		s.cacheEventLag = lag
		s.cacheEventGaps = gaps
	}
}

// WithCacheBlocks sets the number of prompt blocks that the prefix cache holds.
func WithCacheBlocks(n int) EngineOption {
	return func(s *engineSettings) { s.cacheBlocks = n }
}

// WithCapacity sets the number of requests in one batch; more wait.
func WithCapacity(n int) EngineOption {
	return func(s *engineSettings) { s.capacity = n }
}

// WithStagingCapacity bounds the staged bytes.
func WithStagingCapacity(bytes int64) EngineOption {
	return func(s *engineSettings) { s.stagingCapacity = bytes }
}

// WithHonourFencing chooses whether orders with an old fencing number are
// refused, as they are by default.
func WithHonourFencing(on bool) EngineOption {
	return func(s *engineSettings) { s.honourFencing = on }
}

// WithEngineSeed sets the seed of the gaps between cache events.
func WithEngineSeed(seed uint64) EngineOption {
	return func(s *engineSettings) { s.seed = seed }
}

// WithEngineClock replaces time.Now for the age of reports and events.
func WithEngineClock(now func() time.Time) EngineOption {
	return func(s *engineSettings) { s.now = now }
}

// NewEngine returns a started engine without weights. Close ends its work.
func NewEngine(options ...EngineOption) *Engine {
	s := engineSettings{
		capacity:      defaultCapacity,
		restartDelay:  defaultRestartDelay,
		cacheBlocks:   defaultCacheBlocks,
		honourFencing: true,
		now:           time.Now,
	}
	for _, o := range options {
		o(&s)
	}
	e := &Engine{settings: s, router: httprouter.New(), staging: newStaging(s.stagingCapacity)}
	e.SetTokenDelay(s.tokenDelay)
	e.batch = newBatch(s.capacity, s.loadReportLag, s.now)
	e.cache = newPrefixCache(s)
	e.start()
	e.route()
	return e
}

func (e *Engine) route() {
	e.router.HandlerFunc(http.MethodGet, engines.PathState, e.serveState)
	e.router.HandlerFunc(http.MethodPost, engines.PathOrders, e.serveOrder)
	e.router.HandlerFunc(http.MethodGet, engines.PathChunks, e.staging.list)
	e.router.PUT(engines.PathChunks+"/:digest", e.staging.put)
	e.router.GET(engines.PathChunks+"/:digest", e.staging.get)
	e.router.DELETE(engines.PathChunks+"/:digest", e.staging.drop)
	e.router.HandlerFunc(http.MethodPost, engines.PathCompletions, e.serveCompletion)
	e.router.HandlerFunc(http.MethodPost, engines.PathCancel, e.serveCancel)
	e.router.HandlerFunc(http.MethodGet, engines.PathCacheEvents, e.cache.serveEvents)
}

// ServeHTTP implements http.Handler. A request that is running when the engine
// crashes, or that comes while it is down, has its connection cut.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathControl {
		e.control(w, r)
		return
	}
	e.alive().serve(w, r, func(w http.ResponseWriter, r *http.Request) {
		if e.admit(w, r) {
			e.router.ServeHTTP(w, r)
		}
	})
}

// Crash cuts every connection, forgets weights, chunks and cache, and starts
// anew after the restart delay.
func (e *Engine) Crash() {
	e.stateMu.Lock()
	if e.life.down {
		e.stateMu.Unlock()
		return
	}
	e.counts.Crashes++
	e.life.end()
	e.weights = nil
	e.loading = digest.Digest{}
	e.fencing = 0
	down := newLife()
	down.down = true
	e.life = down
	e.stateMu.Unlock()
	e.staging.clear()
	e.cache.clear()
	time.AfterFunc(e.settings.restartDelay, func() { e.restart(down) })
}

// LoadOther makes each of the next n loads leave out the first chunk while the
// engine claims to serve what was ordered.
func (e *Engine) LoadOther(n int) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.loadOther = n
}

// SetTokenDelay changes the time from one token to the next, of running requests
// as well.
func (e *Engine) SetTokenDelay(d time.Duration) {
	e.tokenDelay.Store(int64(d))
}

// HoldTokens stops the streams of tokens, but nothing else, while on.
func (e *Engine) HoldTokens(on bool) {
	e.held.set(on)
}

// Counts returns the counters.
func (e *Engine) Counts() EngineCounts {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.counts
}

// Admitted returns the IDs of the requests that were admitted to the batch last,
// in their order.
func (e *Engine) Admitted() []string {
	return e.batch.admittedNames()
}

// Close cuts every connection for good and returns when all loads have ended.
func (e *Engine) Close() {
	e.stateMu.Lock()
	e.life.end()
	e.life = newLife()
	e.life.down = true
	e.life.end()
	e.stateMu.Unlock()
	e.loads.Wait()
}

// restart ends a time of being down, unless the engine was closed since.
func (e *Engine) restart(down *life) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if e.life != down {
		return
	}
	down.end()
	e.start()
}

// start begins a new life. The caller holds stateMu.
func (e *Engine) start() {
	e.incarnation++
	e.life = newLife()
}

func (e *Engine) alive() *life {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.life
}

func (e *Engine) loaded() *weights {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.weights
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.batch.reported()
	e.stateMu.Lock()
	s := engines.WireState{
		Loading:     !e.loading.IsZero(),
		Fencing:     e.fencing,
		Running:     running,
		Waiting:     waiting,
		Incarnation: e.incarnation,
	}
	if e.weights != nil {
		s.Serving = e.weights.claimed
		s.Whole = e.weights.whole
	}
	e.stateMu.Unlock()
	answer(w, http.StatusOK, s)
}

// EngineControl is the JSON form of the faults of an engine.
type EngineControl struct {
	Control
	// Crash crashes the engine once.
	Crash bool `json:"crash,omitempty"`
	// LoadOther is the number of coming loads that go wrong.
	LoadOther *int `json:"loadOther,omitempty"`
	// TokenDelayMS is the time from one token to the next, in milliseconds.
	TokenDelayMS *int64 `json:"tokenDelayMs,omitempty"`
	// HoldTokens stops the streams of tokens while true.
	HoldTokens *bool `json:"holdTokens,omitempty"`
}

func (e *Engine) control(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var c EngineControl
		if !decode(w, r, &c) {
			return
		}
		e.faults.apply(c.Control)
		if c.LoadOther != nil {
			e.LoadOther(*c.LoadOther)
		}
		if c.TokenDelayMS != nil {
			e.SetTokenDelay(time.Duration(*c.TokenDelayMS) * time.Millisecond)
		}
		if c.HoldTokens != nil {
			e.HoldTokens(*c.HoldTokens)
		}
		if c.Crash {
			e.Crash()
		}
	}
	answer(w, http.StatusOK, e.Counts())
}

func poisonous(prompt string) bool {
	return strings.Contains(prompt, PoisonMarker)
}
