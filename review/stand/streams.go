package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Figures of the case.
const (
	// engines are so many in each failure domain.
	engines = 12
	// streamTime is the time budget of a stream and the timeout of its route, as on the sheet.
	streamTime = 6 * time.Second
	// shortEvents and longEvents are the lengths of streams, longShare the part of long ones.
	// All are complete within their time budget.
	shortEvents   = 3
	longEvents    = 14
	eventInterval = 410 * time.Millisecond
	longShare     = 0.12
	streamGap     = 20 * time.Millisecond // between two streams for an entry
	// cachedTime is how long clients go on using the address of an entry that is not resolved
	// any more: ttl-s. Some keep it keptFactor times as long.
	cachedTime = 2 * time.Second
	keptFactor = 3
	keptEvery  = 4
	warmUp     = 8 * time.Second
	// stopTimeout is bounds.grace-s in the settings.
	stopTimeout = 8 * time.Second
	stops       = 2 // of each entry
	// ownEnd is the time before the end of a client's own time budget in which a cut stream
	// does not count: the server may have stopped work for that.
	ownEnd = 200 * time.Millisecond
)

// streamEnd is how a stream ended at its client.
type streamEnd struct {
	status int
	events int
	total  int
	whole  bool // it looked whole
	sentAt time.Time
	took   time.Duration
}

// streamList holds the ends of all streams. It is safe for concurrent use.
type streamList struct {
	mu   sync.Mutex
	list map[string]streamEnd
	next int
}

func (l *streamList) id() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("s%05d", l.next)
}

func (l *streamList) add(id string, e streamEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list[id] = e
}

// streamClients send streams to one entry.
type streamClients struct {
	fleet   *fleet
	streams *streamList
	to      standin.Machine
	http    *http.Client

	mu        sync.Mutex
	stoppedAt time.Time // when the entry was told to stop, zero while it serves
}

// playStreams stops the entries in turn, as planned work, while streams are under way.
func playStreams(r *recorder, trouble bool) error {
	runs := &runList{record: r}
	e := standin.SmallEngine
	e.Event = eventInterval
	f, err := startFleet(r, standin.WithSize(2, 1, engines, 1), standin.WithEngines(e), standin.WithRunsOf(runs.add), standin.WithFinishesOf(func(e standin.Finish) {
		r.linef("server %s has ended %s: %v", e.Server, e.Attempt, e.Kind)
	}))
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return err
	}
	for _, s := range f.Servers {
		s.SetStreams(0, stopWork)
	}
	if err := f.changeConfig(func(config map[string]any) {
		for _, route := range config["routes"].([]any) {
			route.(map[string]any)["timeout-ms"] = streamTime.Milliseconds()
		}
	}); err != nil {
		return err
	}
	streams := &streamList{list: make(map[string]streamEnd)}
	done := make(chan struct{})
	var work sync.WaitGroup
	var all []*streamClients
	for _, m := range f.Entries {
		transport := &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 5 * time.Second, DisableCompression: true}
		c := &streamClients{fleet: f, streams: streams, to: m, http: &http.Client{Transport: transport, Timeout: streamTime + time.Second}}
		all = append(all, c)
		work.Go(func() { c.keepStreaming(done, &work) })
	}
	time.Sleep(warmUp)
	for range stops {
		for i, c := range all {
			if !trouble {
				time.Sleep(warmUp)
				continue
			}
			if err := f.stopEntry(f.processes[i], c); err != nil {
				return err
			}
		}
	}
	close(done)
	work.Wait()
	return judgeStreams(r, streams)
}

// stopWork lets an engine stop work when the time budget of a stream ends: it writes no further
// event, and the answer ends.
func stopWork(string, time.Time) standin.Ending { return standin.EndInOrder() }

// streamPath returns the path of a stream with so many events, for an attempt.
func streamPath(id string, events int) string {
	for n := 0; ; n++ {
		if path := fmt.Sprintf("%s%s-%d", standin.PathStream, id, n); standin.Events(path) == events {
			return path
		}
	}
}

// stopEntry stops an entry, as planned work, and waits until it serves again.
func (f *fleet) stopEntry(p *process, c *streamClients) error {
	f.record.notef("SIGTERM to %s", p.machine.Name)
	c.setStopped(time.Now())
	p.signal(syscall.SIGTERM)
	time.Sleep(stopTimeout + restartDelay)
	if !f.awaitReady(p.machine) {
		return fmt.Errorf("%s is not ready again", p.machine.Name)
	}
	f.record.notef("%s is ready again", p.machine.Name)
	c.setStopped(time.Time{})
	time.Sleep(warmUp / 2)
	return nil
}

func (c *streamClients) setStopped(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stoppedAt = at
}

// uses reports whether a client still uses the address of the entry.
func (c *streamClients) uses(number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := cachedTime
	if number%keptEvery == 0 {
		kept *= keptFactor
	}
	return c.stoppedAt.IsZero() || time.Since(c.stoppedAt) < kept
}

// keepStreaming sends streams until done is closed.
func (c *streamClients) keepStreaming(done <-chan struct{}, work *sync.WaitGroup) {
	for n := 0; ; n++ {
		if c.uses(n) {
			events := shortEvents
			if rand.Float64() < longShare {
				events = longEvents
			}
			work.Go(func() { c.stream(events) })
		}
		select {
		case <-done:
			return
		case <-time.After(streamGap):
		}
	}
}

// stream sends a stream and reads it to its end.
func (c *streamClients) stream(total int) {
	id := c.streams.id()
	e := streamEnd{total: total, sentAt: time.Now()}
	err := c.read(id, &e)
	e.whole = err == nil && e.status == http.StatusOK
	e.took = time.Since(e.sentAt)
	c.streams.add(id, e)
	c.fleet.record.linef("stream %s of %d events, sent to %s %.3f s ago: status %d, %d events, looks whole: %t %v",
		id, total, c.to.Name, time.Since(e.sentAt).Seconds(), e.status, e.events, e.whole, err)
}

func (c *streamClients) read(id string, e *streamEnd) error {
	request, err := standin.NewRequest(http.MethodPost, c.fleet.Front(c.to), streamPath(id, e.total), id, standin.Key, streamTime)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	defer response.Body.Close()
	e.status = response.StatusCode
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			e.events++
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("broken off: %w", err)
		}
	}
}

// judgeStreams checks the streams against ORDER.
func judgeStreams(r *recorder, l *streamList) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole, broken, refused, cut := 0, 0, 0, 0
	for id, e := range l.list {
		switch {
		case e.status != http.StatusOK:
			refused++
		case !e.whole:
			broken++
		case e.events < e.total && e.took > streamTime-ownEnd:
			r.notef("stream %s looks whole with %d of %d events, at the end of its client's time budget: not counted", id, e.events, e.total)
		case e.events < e.total:
			cut++
			r.notef("stream %s looks whole with %d of %d events, %.3f s after it was sent", id, e.events, e.total, e.took.Seconds())
		default:
			whole++
		}
	}
	r.notef("streams: %d whole, %d broken off, %d refused or not answered, %d cut and given as whole", whole, broken, refused, cut)
	if cut > 0 {
		return fmt.Errorf("%w: ORDER: %d streams end as complete before their last event", errBroken, cut)
	}
	if whole == 0 {
		return fmt.Errorf("no stream was served")
	}
	return nil
}
