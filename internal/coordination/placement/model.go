package placement

import "time"

// Model predicts how an endpoint works. An engine works in passes: it reads waiting
// prompts and writes a few tokens of every answer in each. The zero value is a
// plain endpoint, of which only the number of requests is known.
type Model struct {
	// Pass is the time of a pass that writes for one request, PassPerRequest what
	// each further one adds.
	Pass, PassPerRequest time.Duration
	// Read is the time to read a prompt token.
	Read time.Duration
	// PerRequest is the time that each request in flight adds at a plain endpoint.
	PerRequest time.Duration
}

// defaultPerRequest orders plain endpoints by what they have in flight.
const defaultPerRequest = 10 * time.Millisecond

// First predicts the time from placement until the answer begins: the rest of the
// pass in progress, the reading of what waits and of the own prompt, and the first
// pass that writes.
func (m Model) First(inFlight, unread, prompt int) time.Duration {
	if m.Pass == 0 {
		return time.Duration(inFlight) * max(m.PerRequest, defaultPerRequest)
	}
	pass := m.Pass + time.Duration(inFlight)*m.PassPerRequest
	rest := time.Duration(0)
	if inFlight > 0 {
		rest = pass / 2
	}
	return rest + time.Duration(unread+prompt)*m.Read + pass
}
