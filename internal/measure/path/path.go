// Package path measures what the two hops of a request cost on loopback: the time
// through an entry and an agent, beside the direct call of the endpoint and a bare
// pass-through handler, and the tokens a second that one entry passes on.
//
// Times depend on the machine and on what else runs there; only their ratios in
// one run mean something.
//
// # Usage
//
//	report, err := path.Measure(ctx, path.WithRequests(5000), path.WithStreams(16, 4000))
//	err = report.Table(os.Stdout, false)
package path

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/primrosetally/primrosetally/internal/entry"
	"github.com/primrosetally/primrosetally/internal/standin"
)

// Defaults of a measurement, and the bounds of its histograms.
const (
	defaultRequests = 5000
	defaultStreams  = 16
	defaultTokens   = 4000 // of each stream
	warmUps         = 200
	maxLatency      = int64(10 * time.Second)
	significant     = 3 // digits
)

// errNotAnswered is returned when a request did not get its whole answer.
var errNotAnswered = eris.New("request was not answered whole")

// Latency is the time of a request by one way, in microseconds.
type Latency struct {
	Way      string  `json:"way"`
	Requests int     `json:"requests"`
	Median   float64 `json:"medianMicroseconds"`
	P99      float64 `json:"p99Microseconds"`
}

// Report holds the measured figures.
type Report struct {
	Latencies []Latency `json:"latencies"`
	// Tokens is the number streamed through one entry, and TokensPerSecond their
	// rate, with all processes and stand-ins on the same machine.
	Tokens          int     `json:"tokens"`
	TokensPerSecond float64 `json:"tokensPerSecond"`
}

type settingsOf struct {
	requests int
	streams  int
	tokens   int
}

// Option sets a property of a measurement.
type Option func(*settingsOf)

// WithRequests sets the number of requests by each way.
func WithRequests(n int) Option { return func(s *settingsOf) { s.requests = n } }

// WithStreams sets the number of concurrent streams and the tokens of each.
func WithStreams(streams, tokens int) Option {
	return func(s *settingsOf) {
		s.streams = streams
		s.tokens = tokens
	}
}

// Measure runs one entry, one agent before a plain service and one before a model
// engine, and sends requests by each way in turn.
func Measure(ctx context.Context, options ...Option) (Report, error) {
	s := settingsOf{requests: defaultRequests, streams: defaultStreams, tokens: defaultTokens}
	for _, o := range options {
		o(&s)
	}
	d, err := newDeployment(ctx)
	if err != nil {
		return Report{}, err
	}
	defer d.close()
	var report Report
	ways := []struct{ name, url string }{
		{"direct", d.endpointURL + "/seats"},
		{"pass-through", d.passURL + "/seats"},
		{"entry and agent", d.entryURL + "/s/" + plainService + "/seats"},
	}
	for _, w := range ways {
		l, err := measureLatency(ctx, w.name, w.url, s.requests)
		if err != nil {
			return report, eris.Wrap(err, w.name)
		}
		report.Latencies = append(report.Latencies, l)
	}
	report.Tokens = s.streams * s.tokens
	report.TokensPerSecond, err = measureTokens(ctx, d.entryURL+"/s/"+modelService+"/v1/completions", s)
	return report, err
}

func measureLatency(ctx context.Context, way, url string, n int) (Latency, error) {
	h := hdrhistogram.New(1, maxLatency, significant)
	for i := range n + warmUps {
		began := time.Now()
		if err := get(ctx, url); err != nil {
			return Latency{}, err
		}
		if i >= warmUps {
			if err := h.RecordValue(time.Since(began).Nanoseconds()); err != nil {
				return Latency{}, eris.Wrap(err, "latency")
			}
		}
	}
	return Latency{
		Way:      way,
		Requests: n,
		Median:   float64(h.ValueAtQuantile(50)) / float64(time.Microsecond),
		P99:      float64(h.ValueAtQuantile(99)) / float64(time.Microsecond),
	}, nil
}

func get(ctx context.Context, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	r.Header.Set(entry.HeaderAccount, account)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return eris.Wrapf(errNotAnswered, "status %d", answer.StatusCode)
	}
	return nil
}

func measureTokens(ctx context.Context, url string, s settingsOf) (float64, error) {
	began := time.Now()
	streams := pool.New().WithErrors().WithContext(ctx)
	for i := range s.streams {
		streams.Go(func(ctx context.Context) error { return stream(ctx, url, fmt.Sprint("prompt ", i), s.tokens) })
	}
	if err := streams.Wait(); err != nil {
		return 0, err
	}
	return float64(s.streams*s.tokens) / time.Since(began).Seconds(), nil
}

// stream reads one streamed answer to its end.
func stream(ctx context.Context, url, prompt string, tokens int) error {
	body, err := json.Marshal(standin.CompletionRequest{Prompt: prompt, MaxTokens: tokens, Stream: true})
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	r.Header.Set(entry.HeaderAccount, account)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	if answer.Trailer.Get(entry.HeaderOutcome) != entry.OutcomeAnswered {
		return eris.Wrapf(errNotAnswered, "status %d", answer.StatusCode)
	}
	return nil
}

// Table writes the report as text or as one JSON object.
func (r Report) Table(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "way\trequests\tmedian us\tp99 us\t")
	for _, l := range r.Latencies {
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t\n", l.Way, l.Requests, l.Median, l.P99)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d tokens through one entry, %.0f a second\n", r.Tokens, r.TokensPerSecond)
	return err
}
