package placement

import "time"

// LatencyModel predicts how an endpoint works. An engine works in passes: it reads waiting
// prompts and writes a few tokens of every answer in each. The zero value is a
// plain endpoint, of which only the number of requests is known.
type LatencyModel struct {
	// Step is the time of a pass that writes for one request, StepPerRequest what
	// each further one adds.
	Step, StepPerRequest time.Duration
	// PrefillPerToken is the time to read a prompt token.
	PrefillPerToken time.Duration
	// PerRequest is the time that each request in flight adds at a plain endpoint.
	PerRequest time.Duration
}

// defaultPerRequest orders plain endpoints by what they have in flight.
const defaultPerRequest = 10 * time.Millisecond

// FirstEventDelay predicts the time from placement until the answer begins: the rest of the
// pass in progress, the reading of what waits and of the own prompt, and the first
// pass that writes.
func (m LatencyModel) FirstEventDelay(inFlight, unread, prompt int) time.Duration {
	if m.Step == 0 {
		return time.Duration(inFlight) * max(m.PerRequest, defaultPerRequest)
	}
	pass := m.Step + time.Duration(inFlight)*m.StepPerRequest
	rest := time.Duration(0)
	if inFlight > 0 {
		rest = pass / 2
	}
	return rest + time.Duration(unread+prompt)*m.PrefillPerToken + pass
}
