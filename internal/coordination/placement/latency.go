package placement

import "time"

// LatencyModel predicts the latency of an endpoint. An engine runs in steps. In each step
// it prefills waiting prompts and generates a few tokens of every response in progress.
// The zero value describes a plain endpoint, of which only the number of requests is
// known.
type LatencyModel struct {
	// Step is the duration of a step with one request in progress. StepPerRequest is
	// added for each further request.
	Step, StepPerRequest time.Duration
	// PrefillPerToken is the prefill time of one prompt token.
	PrefillPerToken time.Duration
	// PerRequest is the delay that each request in flight adds at a plain endpoint.
	PerRequest time.Duration
}

// minPerRequest is the lower bound of PerRequest. It ranks plain endpoints by their
// number of requests in flight.
const minPerRequest = 10 * time.Millisecond

// FirstEventDelay predicts the time from placement to the first event of the response:
// the mean remaining time of the step in progress, the prefill of the waiting prompts and
// of the request's own prompt, and the step that generates the first tokens.
func (m LatencyModel) FirstEventDelay(inFlight, prefillTokens, prompt int) time.Duration {
	if m.Step == 0 {
		return time.Duration(inFlight) * max(m.PerRequest, minPerRequest)
	}
	step := m.Step + time.Duration(inFlight)*m.StepPerRequest
	remaining := time.Duration(0)
	if inFlight > 0 {
		remaining = step / 2
	}
	return remaining + time.Duration(prefillTokens+prompt)*m.PrefillPerToken + step
}
