package logbook

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// ErrUnknownRequest is wrapped by Explain where no line names the request.
var ErrUnknownRequest = eris.New("no line names the request")

// Bounds of a story.
const (
	// before and after a request's own lines, what happened to its endpoints, the store
	// and the weights counts as near.
	before = 10 * time.Second
	after  = 2 * time.Second
	// mostNear bounds the lines near a request; the nearest in time are kept.
	mostNear = 40
)

// Belief is the last that a process learned of something before it decided.
type Belief struct {
	// Of names what it is about.
	Of string
	// Age is the time from the line to the request's last line.
	Age  time.Duration
	Line Line
}

// Story is what the logs tell of one request.
type Story struct {
	request string
	lines   []Line
	beliefs []Belief
	near    []Line
	leftOut int
	dropped []Line
	other   int
	cause   string
}

// Lines returns the lines that name the request, in order of time.
func (s *Story) Lines() []Line { return s.lines }

// Beliefs returns what the process that decided last knew by then.
func (s *Story) Beliefs() []Belief { return s.beliefs }

// Near returns what other lines tell of the request's endpoints, the store and the
// weights around it, in order of time.
func (s *Story) Near() []Line { return s.near }

// Dropped returns the lines by which processes near the request say that lines are
// missing.
func (s *Story) Dropped() []Line { return s.dropped }

// Cause returns a sentence on why the request ended as it did.
func (s *Story) Cause() string { return s.cause }

// Explain reads the logs from sources and tells the story of a request. The error wraps
// ErrUnknownRequest where nothing names it.
func Explain(request string, sources []string, stdin io.Reader) (*Story, error) {
	s := &Story{request: request}
	var others []Line
	r, err := scan(sources, stdin, func(l Line) {
		switch {
		case l.Request == request:
			s.lines = append(s.lines, l)
		case tells(l):
			others = append(others, l)
		}
	})
	if err != nil {
		return nil, err
	}
	s.other = r.other
	if len(s.lines) == 0 {
		return nil, eris.Wrapf(ErrUnknownRequest, "%q, in %d lines", request, r.lines)
	}
	byTime(s.lines)
	byTime(others)
	s.believe(others)
	s.pickNear(others)
	s.cause = causeOf(s)
	return s, nil
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// tellingEvents are the events that change what a process believes.
var tellingEvents = []telemetry.Event{
	telemetry.ProcessStarted, telemetry.EntryLeaving, telemetry.FleetConfigurationInForce, telemetry.WeightsNamed,
	telemetry.EndpointListed, telemetry.EndpointGone, telemetry.EndpointNoticed, telemetry.EndpointAsks,
	telemetry.EndpointLimited, telemetry.QuotaGrantor,
	telemetry.StoreLost, telemetry.StoreRegained, telemetry.WeightsInService, telemetry.WeightsStaged,
	telemetry.EndpointOrdered, telemetry.EndpointNotReached, telemetry.LinesDropped,
}

func tells(l Line) bool {
	return slices.ContainsFunc(tellingEvents, func(e telemetry.Event) bool { return e.Name() == l.Event })
}

func is(l Line, e telemetry.Event) bool { return l.Event == e.Name() }

// last returns the line with the final answer, or the last one where that is missing.
func (s *Story) last() Line {
	for i := len(s.lines) - 1; i >= 0; i-- {
		if is(s.lines[i], telemetry.FleetRequestEnded) {
			return s.lines[i]
		}
	}
	return s.lines[len(s.lines)-1]
}

// endpoints returns the endpoints that the request met.
func (s *Story) endpoints() []string {
	var list []string
	for _, l := range s.lines {
		if l.Endpoint != "" && !slices.Contains(list, l.Endpoint) {
			list = append(list, l.Endpoint)
		}
	}
	return list
}

// subject names what a line changes a belief about, empty where that has nothing to do
// with the request.
func subject(l Line, endpoints []string) string {
	switch {
	case is(l, telemetry.FleetConfigurationInForce):
		return "configuration"
	case is(l, telemetry.StoreLost), is(l, telemetry.StoreRegained):
		return "store, table " + l.Table
	case is(l, telemetry.WeightsNamed):
		return "weights of " + l.Model
	case is(l, telemetry.ProcessStarted), is(l, telemetry.EntryLeaving):
		return "the process itself"
	case l.Endpoint != "" && slices.Contains(endpoints, l.Endpoint):
		return "endpoint " + l.Endpoint
	}
	return ""
}

// believe finds the last that the deciding process learned of each subject.
func (s *Story) believe(others []Line) {
	end, endpoints := s.last(), s.endpoints()
	for _, l := range others {
		if l.Process != end.Process || l.At.After(end.At) {
			continue
		}
		of := subject(l, endpoints)
		if of == "" {
			continue
		}
		b := Belief{Of: of, Age: end.At.Sub(l.At), Line: l}
		if i := slices.IndexFunc(s.beliefs, func(b Belief) bool { return b.Of == of }); i >= 0 {
			s.beliefs[i] = b
		} else {
			s.beliefs = append(s.beliefs, b)
		}
	}
}

// pickNear keeps the lines around the request that may have to do with it.
func (s *Story) pickNear(others []Line) {
	from, until := s.lines[0].At.Add(-before), s.last().At.Add(after)
	endpoints, own := s.endpoints(), s.last().Process
	for _, l := range others {
		if l.At.Before(from) || l.At.After(until) {
			continue
		}
		if is(l, telemetry.LinesDropped) {
			s.dropped = append(s.dropped, l)
			continue
		}
		if relevant(l, endpoints, own) {
			s.near = append(s.near, l)
		}
	}
	if s.leftOut = len(s.near) - mostNear; s.leftOut <= 0 {
		s.leftOut = 0
		return
	}
	end := s.last().At
	slices.SortStableFunc(s.near, func(a, b Line) int { return int(end.Sub(a.At).Abs() - end.Sub(b.At).Abs()) })
	s.near = s.near[:mostNear]
	byTime(s.near)
}

// relevant reports whether a line may have to do with the request: lines of its endpoints,
// of the store and of the weights, and where it met no endpoint, why its process had none.
func relevant(l Line, endpoints []string, own string) bool {
	switch {
	case l.Endpoint != "" && slices.Contains(endpoints, l.Endpoint):
		return true
	case l.Endpoint != "":
		return len(endpoints) == 0 && l.Process == own && !is(l, telemetry.EndpointListed)
	case is(l, telemetry.EndpointNotReached):
		return l.Process == own
	}
	return true
}

// clock is the format of times of a story.
const clock = "15:04:05.000"

// WriteText writes the story for a reader.
func (s *Story) WriteText(w io.Writer) error {
	var b strings.Builder
	section := func(title string, lines []Line) {
		if len(lines) == 0 {
			return
		}
		fmt.Fprintf(&b, "\n%s:\n", title)
		for _, l := range lines {
			fmt.Fprintf(&b, "  %s %s %s\n", l.At.UTC().Format(clock), l.Process, l.text)
		}
	}
	fmt.Fprintf(&b, "request %s: %s\n", s.request, s.cause)
	section("decisions", s.lines)
	if len(s.beliefs) > 0 {
		fmt.Fprintf(&b, "\nwhat %s knew by then, and how old it was:\n", s.last().Process)
	}
	for _, k := range s.beliefs {
		fmt.Fprintf(&b, "  %s, %s old: %s\n", k.Of, k.Age.Round(time.Millisecond), k.Line.text)
	}
	section("around it", s.near)
	if s.leftOut > 0 {
		fmt.Fprintf(&b, "  and %d lines further away in time\n", s.leftOut)
	}
	section("lines are missing, these say", s.dropped)
	if s.other > 0 {
		fmt.Fprintf(&b, "\n%d lines are not of the log (a trace of a process that ended?)\n", s.other)
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write a story")
}

// wireStory is the form of a story as JSON; lines are as they stand in the logs.
type wireStory struct {
	Request    string            `json:"request"`
	Cause      string            `json:"cause"`
	Lines      []json.RawMessage `json:"lines"`
	Beliefs    []wireBelief      `json:"beliefs"`
	Near       []json.RawMessage `json:"near"`
	LeftOut    int               `json:"leftOut"`
	Dropped    []json.RawMessage `json:"dropped"`
	OtherLines int               `json:"otherLines"`
}

type wireBelief struct {
	Of   string          `json:"of"`
	AgeS float64         `json:"ageS"`
	Line json.RawMessage `json:"line"`
}

// WriteJSON writes the story as one JSON object.
func (s *Story) WriteJSON(w io.Writer) error {
	raw := func(lines []Line) []json.RawMessage {
		list := make([]json.RawMessage, len(lines))
		for i, l := range lines {
			list[i] = json.RawMessage(l.text)
		}
		return list
	}
	message := wireStory{
		Request: s.request, Cause: s.cause, Lines: raw(s.lines), Beliefs: []wireBelief{},
		Near: raw(s.near), LeftOut: s.leftOut, Dropped: raw(s.dropped), OtherLines: s.other,
	}
	for _, b := range s.beliefs {
		message.Beliefs = append(message.Beliefs, wireBelief{Of: b.Of, AgeS: b.Age.Seconds(), Line: json.RawMessage(b.Line.text)})
	}
	return eris.Wrap(json.NewEncoder(w).Encode(message), "write a story")
}
