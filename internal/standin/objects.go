package standin

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/time/rate"

	"github.com/primrosetally/primrosetally/internal/state/digest"
)

const (
	sendBlockBytes = 16 << 10
	rateBurstBytes = 64 << 10
)

// Objects stands in for the object store and for the origin of weights.
type Objects struct {
	faults
	seed       uint64
	limiter    *rate.Limiter
	maxStreams int

	storeMu sync.Mutex
	objects map[string][]byte
	corrupt float64
	streams int
	reads   map[string]uint64 // GET requests by key
	counts  ObjectCounts
}

// ObjectCounts are the counters of an object store.
type ObjectCounts struct {
	// BytesServed counts the bytes of bodies sent.
	BytesServed uint64 `json:"bytesServed"`
	// BytesServedByPrefix splits BytesServed by the first segment of the key.
	BytesServedByPrefix map[string]uint64 `json:"bytesServedByPrefix"`
	Reads               uint64            `json:"reads"`
	Writes              uint64            `json:"writes"`
	CorruptAnswers      uint64            `json:"corruptAnswers"`
	Objects             int               `json:"objects"`
}

// ObjectsOption sets an optional property of an object store.
type ObjectsOption func(*Objects)

// WithRate limits all reads together, in bytes a second.
func WithRate(bytesPerSecond float64) ObjectsOption {
	return func(o *Objects) { o.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), rateBurstBytes) }
}

// WithSeed sets the seed of the choice of corrupt answers.
func WithSeed(seed uint64) ObjectsOption {
	return func(o *Objects) { o.seed = seed }
}

// WithMaxStreams refuses more than n reads at once with Retry-After.
func WithMaxStreams(n int) ObjectsOption {
	return func(o *Objects) { o.maxStreams = n }
}

// NewObjects returns an empty object store.
func NewObjects(options ...ObjectsOption) *Objects {
	o := &Objects{
		limiter: rate.NewLimiter(rate.Inf, rateBurstBytes),
		objects: map[string][]byte{},
		reads:   map[string]uint64{},
		counts:  ObjectCounts{BytesServedByPrefix: map[string]uint64{}},
	}
	for _, f := range options {
		f(o)
	}
	return o
}

// ServeHTTP implements http.Handler. Every path but PathControl is a key.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathControl {
		o.control(w, r)
		return
	}
	if !o.admit(w, r) {
		return
	}
	key := strings.TrimPrefix(r.URL.Path, "/")
	switch r.Method {
	case http.MethodGet:
		o.get(w, r, key)
	case http.MethodHead:
		o.head(w, key)
	case http.MethodPut:
		o.put(w, r, key)
	default:
		fail(w, http.StatusMethodNotAllowed, "want GET, HEAD or PUT")
	}
}

// CorruptFraction flips one byte in the fraction f of the coming answers to
// GET. Whether the n-th read of a key is corrupt depends on the seed alone.
func (o *Objects) CorruptFraction(f float64) {
	o.storeMu.Lock()
	defer o.storeMu.Unlock()
	o.corrupt = f
}

// Store writes an object without a request.
func (o *Objects) Store(key string, data []byte) {
	o.storeMu.Lock()
	defer o.storeMu.Unlock()
	o.objects[key] = append([]byte(nil), data...)
}

// Remove deletes an object, as when a manifest is withdrawn.
func (o *Objects) Remove(key string) {
	o.storeMu.Lock()
	defer o.storeMu.Unlock()
	delete(o.objects, key)
}

// Counts returns the counters.
func (o *Objects) Counts() ObjectCounts {
	o.storeMu.Lock()
	defer o.storeMu.Unlock()
	counts := o.counts
	counts.Objects = len(o.objects)
	counts.BytesServedByPrefix = map[string]uint64{}
	for prefix, n := range o.counts.BytesServedByPrefix {
		counts.BytesServedByPrefix[prefix] = n
	}
	return counts
}

func (o *Objects) get(w http.ResponseWriter, r *http.Request, key string) {
	data, flip, found := o.open(key)
	if !found {
		fail(w, http.StatusNotFound, "no such key")
		return
	}
	if !o.enterStream(w) {
		return
	}
	defer o.leaveStream()
	offset, err := rangeStart(r.Header.Get("Range"))
	if err != nil || offset > int64(len(data)) || (offset == int64(len(data)) && offset > 0) {
		fail(w, http.StatusRequestedRangeNotSatisfiable, "range outside the object")
		return
	}
	status := http.StatusOK
	if offset > 0 {
		status = http.StatusPartialContent
		w.Header().Set("Content-Range", contentRange(offset, len(data)))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)-int(offset)))
	w.WriteHeader(status)
	o.send(r.Context(), w, key, data[offset:], flip)
}

// open returns the object and, for a corrupt answer, a number that chooses the
// byte to flip.
func (o *Objects) open(key string) (data []byte, flip uint64, found bool) {
	o.storeMu.Lock()
	defer o.storeMu.Unlock()
	data, found = o.objects[key]
	o.counts.Reads++
	o.reads[key]++
	draw := o.draw(key, o.reads[key])
	if found && len(data) > 0 && float64(draw>>11)/(1<<53) < o.corrupt {
		o.counts.CorruptAnswers++
		flip = draw | 1
	}
	return data, flip, found
}

// draw returns a number that is fixed by the seed, the key and the count of its
// reads.
func (o *Objects) draw(key string, n uint64) uint64 {
	input := binary.BigEndian.AppendUint64(nil, o.seed)
	input = binary.BigEndian.AppendUint64(input, n)
	sum := digest.Of(append(input, key...))
	return binary.BigEndian.Uint64(sum[:8])
}

// send writes data in blocks at the rate; flip other than 0 chooses a byte to
// change.
func (o *Objects) send(ctx context.Context, w io.Writer, key string, data []byte, flip uint64) {
	bad := -1
	if flip != 0 && len(data) > 0 {
		bad = int(flip % uint64(len(data)))
	}
	for start := 0; start < len(data); start += sendBlockBytes {
		block := data[start:min(start+sendBlockBytes, len(data))]
		if bad >= start && bad < start+len(block) {
			block = append([]byte(nil), block...)
			block[bad-start] ^= 0x5a
		}
		if o.limiter.WaitN(ctx, len(block)) != nil || o.frozen.wait(ctx) != nil {
			panic(http.ErrAbortHandler)
		}
		n, err := w.Write(block)
		o.count(key, n)
		if err != nil {
			return
		}
	}
}

func (o *Objects) count(key string, n int) {
	prefix, _, _ := strings.Cut(key, "/")
	o.storeMu.Lock()
	defer o.storeMu.Unlock()
	o.counts.BytesServed += uint64(n)
	o.counts.BytesServedByPrefix[prefix] += uint64(n)
}

func (o *Objects) enterStream(w http.ResponseWriter) bool {
	o.storeMu.Lock()
	defer o.storeMu.Unlock()
	if o.maxStreams > 0 && o.streams >= o.maxStreams {
		w.Header().Set("Retry-After", "1")
		fail(w, http.StatusServiceUnavailable, "SlowDown")
		return false
	}
	o.streams++
	return true
}

func (o *Objects) leaveStream() {
	o.storeMu.Lock()
	defer o.storeMu.Unlock()
	o.streams--
}

func (o *Objects) head(w http.ResponseWriter, key string) {
	o.storeMu.Lock()
	data, found := o.objects[key]
	o.storeMu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(http.StatusOK)
}

func (o *Objects) put(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	o.Store(key, data)
	o.storeMu.Lock()
	o.counts.Writes++
	o.storeMu.Unlock()
	o.loseAnswer()
	w.WriteHeader(http.StatusNoContent)
}

// ObjectsControl is the JSON form of the faults of an object store.
type ObjectsControl struct {
	Control
	// CorruptFraction is the fraction of corrupt answers, from 0 to 1.
	CorruptFraction *float64 `json:"corruptFraction,omitempty"`
}

func (o *Objects) control(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var c ObjectsControl
		if !decode(w, r, &c) {
			return
		}
		o.faults.apply(c.Control)
		if c.CorruptFraction != nil {
			o.CorruptFraction(*c.CorruptFraction)
		}
	}
	answer(w, http.StatusOK, o.Counts())
}

// rangeStart reads the form "bytes=N-"; an empty header gives 0.
func rangeStart(header string) (int64, error) {
	if header == "" {
		return 0, nil
	}
	start := strings.TrimSuffix(strings.TrimPrefix(header, "bytes="), "-")
	n, err := strconv.ParseUint(start, 10, 63)
	return int64(n), err
}

func contentRange(offset int64, size int) string {
	return "bytes " + strconv.FormatInt(offset, 10) + "-" + strconv.Itoa(size-1) + "/" + strconv.Itoa(size)
}
