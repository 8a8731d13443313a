// Package preview tells where a request would go now, and why, without sending it.
//
// An entry answers from its own state, by the decisions that it makes for requests. Another
// entry may decide otherwise: it uses other endpoints first, and knows the load of others at
// another time.
//
// # Usage
//
//	router.Handler(http.MethodGet, preview.Path, preview.NewHandler(gateway.Preview))
//
//	p, err := preview.Fetch(ctx, http.DefaultClient, "10.1.0.39:7741", preview.Query{Host: "shop.example", Path: "/faq/1"})
//	err = p.WriteText(os.Stdout)
package preview

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Path is where an entry answers, at the address of its metrics.
const Path = "/preview"

// Errors of a query.
var (
	// ErrQuery is wrapped by the errors of queries that name nothing an entry knows.
	ErrQuery = eris.New("no such request")
	// ErrUnavailable is wrapped where the entry has no configuration or does not answer.
	ErrUnavailable = eris.New("entry can't tell")
)

// Query describes a request.
type Query struct {
	// Host and Path select its route.
	Host, Path string
	// Account is the name of its client account, empty for none.
	Account string
	// PromptTokens is the size of its prompt, 0 if unknown.
	PromptTokens int
}

// Preview is where a request would go.
type Preview struct {
	// Entry and FailureDomain are those of the entry that answers.
	Entry         string `json:"entry"`
	FailureDomain string `json:"failureDomain"`
	Route         string `json:"route"`
	Account       string `json:"account,omitempty"`
	// AccountPriority goes before RoutePriority; lower is more urgent.
	AccountPriority int `json:"accountPriority"`
	RoutePriority   int `json:"routePriority"`
	// ConfigurationVersion is in force, and was confirmed ConfirmedMS ago, in milliseconds, -1
	// if it never was.
	ConfigurationVersion int64   `json:"configurationVersion"`
	ConfirmedMS          float64 `json:"confirmedMs"`
	// LoadMS is the age of the oldest load report of another entry, in milliseconds.
	LoadMS float64 `json:"loadMs"`
	// Refusal is why the request would be refused whatever the endpoints are, empty if it would
	// not be.
	Refusal string `json:"refusal,omitempty"`
	// Services are those that the route may choose, by their weights.
	Services []Service `json:"services"`
}

// Service is where a request would go if its route chose a service.
type Service struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	// Outcome is one of the outcomes below.
	Outcome string `json:"outcome"`
	// Endpoint is the chosen one, if it is placed.
	Endpoint string `json:"endpoint,omitempty"`
	// Reason is why it is refused.
	Reason string `json:"reason,omitempty"`
	// ExpectedWaitMS is how long it is expected to wait, in milliseconds.
	ExpectedWaitMS float64    `json:"expectedWaitMs,omitempty"`
	Endpoints      []Endpoint `json:"endpoints"`
}

// Outcomes of a request for a service.
const (
	OutcomePlaced    = "placed"
	OutcomeWaits     = "waits"
	OutcomeWaitsLate = "waitsLate" // without a chance to meet its target
	OutcomeRefused   = "refused"
)

// Endpoint is an endpoint of a service as the entry judges it for the request.
type Endpoint struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region,omitempty"`
	// Obstacle is why the request would not be placed there, empty if it might be.
	Obstacle string `json:"obstacle,omitempty"`
	// Preferred is set if the entry uses the endpoint first.
	Preferred bool `json:"preferred"`
	// FirstEventMS is the predicted time to the first event there, in milliseconds, and InTime
	// whether that is within the target.
	FirstEventMS float64 `json:"firstEventMs"`
	InTime       bool    `json:"inTime"`
	// InFlight and PrefillTokens are the known load, of which OwnInFlight is the entry's.
	InFlight      int `json:"inFlight"`
	OwnInFlight   int `json:"ownInFlight"`
	PrefillTokens int `json:"prefillTokens"`
	Slots         int `json:"slots"`
}

// Milliseconds returns a duration as the messages have it.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Names of the fields of a query.
const (
	fieldHost    = "host"
	fieldPath    = "path"
	fieldAccount = "account"
	fieldPrompt  = "promptTokens"
)

// maxPromptTokens bounds the size of a prompt in a query.
const maxPromptTokens = 1 << 24

// NewHandler returns a handler that answers queries by a function. Its errors wrap ErrQuery or
// ErrUnavailable.
func NewHandler(preview func(Query) (Preview, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := parse(r.URL.Query())
		p := Preview{}
		if err == nil {
			p, err = preview(q)
		}
		w.Header().Set("Content-Type", "application/json")
		switch {
		case errors.Is(err, ErrQuery):
			w.WriteHeader(http.StatusBadRequest)
		case err != nil:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		// A write error means that the caller has disconnected.
		if err != nil {
			_ = json.NewEncoder(w).Encode(failure{Error: err.Error()})
			return
		}
		_ = json.NewEncoder(w).Encode(p)
	})
}

// failure is the answer to a query that has none.
type failure struct {
	Error string `json:"error"`
}

func parse(values url.Values) (Query, error) {
	q := Query{Host: values.Get(fieldHost), Path: values.Get(fieldPath), Account: values.Get(fieldAccount)}
	if q.Host == "" || q.Path == "" || q.Path[0] != '/' {
		return q, eris.Wrap(ErrQuery, "a host, and a path that begins with a slash, are needed")
	}
	if text := values.Get(fieldPrompt); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxPromptTokens {
			return q, eris.Wrapf(ErrQuery, "prompt tokens: %.40q is no number from 0 to %d", text, maxPromptTokens)
		}
		q.PromptTokens = n
	}
	return q, nil
}

// maxAnswer bounds the answer of an entry, in bytes.
const maxAnswer = 4 << 20

// Fetch asks the entry whose metrics are at an address. The error wraps ErrQuery or
// ErrUnavailable.
func Fetch(ctx context.Context, client *http.Client, address string, q Query) (Preview, error) {
	values := url.Values{fieldHost: {q.Host}, fieldPath: {q.Path}, fieldAccount: {q.Account}, fieldPrompt: {strconv.Itoa(q.PromptTokens)}}
	target := url.URL{Scheme: "http", Host: address, Path: Path, RawQuery: values.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Preview{}, eris.Wrapf(ErrUnavailable, "%v", err)
	}
	response, err := client.Do(r)
	if err != nil {
		return Preview{}, eris.Wrapf(ErrUnavailable, "%v", err)
	}
	defer response.Body.Close()
	body := json.NewDecoder(io.LimitReader(response.Body, maxAnswer))
	if response.StatusCode != http.StatusOK {
		f := failure{Error: response.Status}
		_ = body.Decode(&f) // the status stands for itself
		kind := ErrUnavailable
		if response.StatusCode == http.StatusBadRequest {
			kind = ErrQuery
		}
		return Preview{}, eris.Wrap(kind, f.Error)
	}
	var p Preview
	if err := body.Decode(&p); err != nil {
		return Preview{}, eris.Wrapf(ErrUnavailable, "answer: %v", err)
	}
	return p, nil
}

// WriteJSON writes the preview as one JSON object.
func (p Preview) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(p) }

// WriteText writes the preview for a reader.
func (p Preview) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "entry %s in %s, configuration %d, %s, loads of others up to %.0f ms old\n",
		p.Entry, p.FailureDomain, p.ConfigurationVersion, p.confirmed(), p.LoadMS)
	fmt.Fprintf(t, "route %s, account %q, priority %d.%d\n", p.Route, p.Account, p.AccountPriority, p.RoutePriority)
	if p.Refusal != "" {
		fmt.Fprintf(t, "refused: %s\n", p.Refusal)
	}
	for _, s := range p.Services {
		fmt.Fprintf(t, "\nservice %s, weight %d: %s\n", s.Name, s.Weight, s.outcome())
		fmt.Fprintln(t, "endpoint\tdomain\tin flight\tslots\tfirst event ms\tin time\tfirst choice\tobstacle")
		for _, e := range s.Endpoints {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.0f\t%t\t%t\t%s\n", e.ID, e.FailureDomain, e.InFlight, e.Slots, e.FirstEventMS, e.InTime, e.Preferred, e.Obstacle)
		}
	}
	return t.Flush()
}

func (p Preview) confirmed() string {
	if p.ConfirmedMS < 0 {
		return "never confirmed"
	}
	return fmt.Sprintf("confirmed %.0f ms ago", p.ConfirmedMS)
}

func (s Service) outcome() string {
	switch s.Outcome {
	case OutcomePlaced:
		return "placed on " + s.Endpoint
	case OutcomeRefused:
		return "refused, " + s.Reason
	case OutcomeWaitsLate:
		return fmt.Sprintf("waits, too late for its target, some %.0f ms", s.ExpectedWaitMS)
	}
	return fmt.Sprintf("waits some %.0f ms", s.ExpectedWaitMS)
}
