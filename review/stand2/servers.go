package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

const (
	// heartbeat is how often a server writes to the store; after three without any its row
	// is removed.
	heartbeat = 1200 * time.Millisecond
	// slots is how many requests a server runs at a time.
	slots = 8
	// crashAfter is how long after its begin a request crashes its server.
	crashAfter = 10 * time.Millisecond
)

// server is a server of the platform. It has a new id with each start.
type server struct {
	fleet                  *fleet
	service, zone, address string
	name                   string
	work, publishWork      time.Duration // of a read or between two events, and of a publication
	// deadly reports whether a request crashes a server that begins to run it, or to answer
	// it if late is set: it then has sent the head of its answer.
	deadly func(r *http.Request) bool
	late   bool
	// arrived is called with each request that reaches the server, run with each that it runs.
	arrived, run func(s *server, id string, r *http.Request)
	down         time.Duration // how long it is not there after a crash

	mu      sync.Mutex
	starts  int
	id      string
	leaving bool
	ended   bool // it has left for good
	free    chan struct{}
	http    *http.Server
}

// start starts the server and lists it.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.starts)
	s.free = make(chan struct{}, slots)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	server, id := s.http, s.id
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends with stop
	s.list("ready")
	s.fleet.record.add("server %s starts at %s", id, s.address)
	return nil
}

// list writes the server's row. Its return is the store's ack.
func (s *server) list(state string) {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	row, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": slots, "state": state,
		"cold-remaining-ms": 0, "sequence": 0, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	s.fleet.store.Put("servers", id, row)
}

// stop closes the listener and all connections.
func (s *server) stop() (id string) {
	s.mu.Lock()
	server := s.http
	s.http = nil
	id = s.id
	s.mu.Unlock()
	if server != nil {
		server.Close()
	}
	return id
}

// crash ends the server, which starts again after the time for which it is down. What it had
// written is removed after three heartbeats of silence, or as it starts again.
func (s *server) crash() {
	s.mu.Lock()
	crashed := s.http == nil
	s.mu.Unlock()
	if crashed {
		return
	}
	id := s.stop()
	s.fleet.record.add("server %s crashes", id)
	go func() {
		time.Sleep(min(s.down, 3*heartbeat))
		s.fleet.store.Remove("servers", id)
		time.Sleep(s.down - min(s.down, 3*heartbeat))
		s.mu.Lock()
		ended := s.ended
		s.mu.Unlock()
		for !ended && s.start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// leave reports that the server is draining and returns when the store has accepted that. The
// server goes on serving for the bound of the drain and longer, and exits.
func (s *server) leave(longer time.Duration) (ack time.Duration) {
	s.mu.Lock()
	s.leaving = true
	id := s.id
	s.mu.Unlock()
	row := s.fleet.store.Rows("servers")[id]
	s.fleet.store.Put("servers", id, []byte(strings.Replace(string(row), `"ready"`, `"draining"`, 1)))
	ack = s.fleet.record.add("the store accepts that server %s is draining", id)
	go func() {
		time.Sleep(drainBound + longer)
		s.end()
	}()
	return ack
}

// end ends the server for good.
func (s *server) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	id := s.stop()
	s.fleet.store.Remove("servers", id)
	s.fleet.record.add("server %s exits", id)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, leaving, free := s.id, s.leaving, s.free
	s.mu.Unlock()
	h := w.Header()
	h.Set(names.Attempt, r.Header.Get(names.Attempt))
	if leaving {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if want := r.Header.Get(names.Target); want != "" && want != id {
		h.Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.arrived(s, id, r)
	select {
	case free <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-free }()
	s.run(s, id, r)
	deadly := s.deadly != nil && s.deadly(r)
	if deadly && !s.late {
		pause(r.Context(), crashAfter)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	h.Set(standin.Seal, "seal-"+id)
	if strings.HasPrefix(r.URL.Path, pathStream) {
		s.stream(w, r, deadly)
		return
	}
	work := s.work
	if strings.HasPrefix(r.URL.Path, pathPublish) {
		work = s.publishWork
	}
	pause(r.Context(), work)
	text := answerTo(r.URL.Path)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	fmt.Fprint(w, text)
}

// answerTo returns the body of the answer to a path.
func answerTo(path string) string { return "answer to " + path }

// events is the number of events in a stream.
const events = 12

func (s *server) stream(w http.ResponseWriter, r *http.Request, deadly bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	if deadly {
		_ = flush() // the connection may be gone
		s.crash()
		panic(http.ErrAbortHandler)
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	for n := last + 1; n <= events; n++ {
		pause(r.Context(), s.work)
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprint(w, event(r.URL.Path, n))
		_ = flush()
	}
}

// event returns an event of the stream for a path.
func event(path string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, path, n) }

func pause(ctx context.Context, d time.Duration) { sleep(ctx, d) }

// hasPart reports whether a prompt has a part that is not its last.
func hasPart(r *http.Request, part string) bool {
	parts := strings.Split(r.Header.Get(names.Prompt), ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool {
		identity, _, _ := strings.Cut(p, ":")
		return identity == part
	})
}
