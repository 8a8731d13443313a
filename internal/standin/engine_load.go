package standin

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/julienschmidt/httprouter"

	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/internal/transport/engines"
)

// serveOrder accepts an order whose chunks are all staged and loads it. An order
// for what is already served or being loaded changes nothing.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engines.WireOrder
	if !decode(w, r, &order) {
		return
	}
	manifest, err := model.Parse(order.Manifest)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if missing, found := e.staging.missing(manifest); found {
		fail(w, http.StatusFailedDependency, "chunk "+missing.String()+" is not staged")
		return
	}
	if !e.accept(order.Fencing, manifest) {
		fail(w, http.StatusPreconditionFailed, "fencing number "+strconv.FormatUint(order.Fencing, 10)+" is old")
		return
	}
	e.loseAnswer()
	w.WriteHeader(http.StatusAccepted)
}

// accept checks the fencing number and begins to load. It reports false for an
// old number.
func (e *Engine) accept(fencing uint64, m *model.Manifest) bool {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if e.settings.honourFencing {
		if fencing < e.fencing {
			return false
		}
		e.fencing = fencing
	}
	if e.life.down || e.serves(m) || e.loading == m.ID() {
		return true
	}
	if e.cancelLoad != nil {
		e.cancelLoad()
	}
	ctx, cancel := context.WithCancel(e.life.ctx)
	e.cancelLoad = cancel
	e.weights = nil
	e.loading = m.ID()
	wrong := e.loadOther > 0
	if wrong {
		e.loadOther--
	}
	e.loads.Go(func() {
		defer cancel()
		e.load(ctx, m, wrong)
	})
	return true
}

// serves reports whether the very weights of the manifest are loaded.
func (e *Engine) serves(m *model.Manifest) bool {
	return e.weights != nil && e.weights.claimed == m.ID() && e.weights.whole == m.Whole()
}

// load reads the staged chunks as they are; wrong leaves the first one out.
func (e *Engine) load(ctx context.Context, m *model.Manifest, wrong bool) {
	first := 0
	actual := m.ID()
	if wrong {
		first = 1
		actual = digest.Of(actual[:])
	}
	whole := sha256.New()
	for i := first; i < m.Chunks(); i++ {
		data, found := e.staging.chunk(m.Chunk(i).Digest())
		if !found || ctx.Err() != nil {
			e.finishLoad(ctx, nil)
			return
		}
		whole.Write(data)
	}
	if wait(ctx, e.settings.loadDelay) != nil || e.frozen.wait(ctx) != nil {
		return
	}
	e.finishLoad(ctx, &weights{claimed: m.ID(), actual: actual, whole: digest.Digest(whole.Sum(nil))})
}

func (e *Engine) finishLoad(ctx context.Context, loaded *weights) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if ctx.Err() != nil {
		return
	}
	e.weights = loaded
	e.loading = digest.Digest{}
	e.counts.Loads++
	e.cache.clear()
}

// staging holds the chunks that were put into an engine.
type staging struct {
	capacity int64 // bytes, 0 for no bound

	mu     sync.Mutex
	chunks map[digest.Digest][]byte
	size   int64
}

func newStaging(capacity int64) *staging {
	return &staging{capacity: capacity, chunks: map[digest.Digest][]byte{}}
}

func (s *staging) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunks = map[digest.Digest][]byte{}
	s.size = 0
}

func (s *staging) chunk(d digest.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, found := s.chunks[d]
	return data, found
}

func (s *staging) missing(m *model.Manifest) (digest.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range m.Chunks() {
		d := m.Chunk(i).Digest()
		if _, found := s.chunks[d]; !found {
			return d, true
		}
	}
	return digest.Digest{}, false
}

// store keeps data under d and reports whether there was room.
func (s *staging) store(d digest.Digest, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.size - int64(len(s.chunks[d])) + int64(len(data))
	if s.capacity > 0 && size > s.capacity {
		return false
	}
	s.chunks[d] = data
	s.size = size
	return true
}

func (s *staging) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	staged := make([]digest.Digest, 0, len(s.chunks))
	for d := range s.chunks {
		staged = append(staged, d)
	}
	s.mu.Unlock()
	slices.SortFunc(staged, func(a, b digest.Digest) int { return slices.Compare(a[:], b[:]) })
	answer(w, http.StatusOK, engines.WireChunks{Chunks: staged})
}

func (s *staging) put(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	d, ok := chunkDigest(w, p)
	if !ok {
		return
	}
	data, err := readBody(w, r)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if !s.store(d, data) {
		fail(w, http.StatusInsufficientStorage, "staging area is full")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *staging) get(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	d, ok := chunkDigest(w, p)
	if !ok {
		return
	}
	data, found := s.chunk(d)
	if !found {
		fail(w, http.StatusNotFound, "chunk is not staged")
		return
	}
	offset, err := strconv.ParseUint("0"+r.URL.Query().Get("offset"), 10, 63)
	if err != nil || offset > uint64(len(data)) {
		fail(w, http.StatusBadRequest, "offset outside the chunk")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)-int(offset)))
	_, _ = w.Write(data[offset:])
}

func (s *staging) drop(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	d, ok := chunkDigest(w, p)
	if !ok {
		return
	}
	s.mu.Lock()
	s.size -= int64(len(s.chunks[d]))
	delete(s.chunks, d)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func chunkDigest(w http.ResponseWriter, p httprouter.Params) (digest.Digest, bool) {
	d, err := digest.Parse(p.ByName("digest"))
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
	}
	return d, err == nil
}

// readBody allocates once when the length is declared.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
	if r.ContentLength < 0 || r.ContentLength > maxRequestBytes {
		return io.ReadAll(body)
	}
	data := make([]byte, r.ContentLength)
	_, err := io.ReadFull(body, data)
	return data, err
}
