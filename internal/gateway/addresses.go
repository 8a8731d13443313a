package gateway

import "time"

// maxAddresses is the most that callers take from one answer.
const maxAddresses = 64

// minNear is the number of ready entries from which the callers of a failure
// domain are only given its own.
const minNear = 2

// Addresses returns where callers of a failure domain should connect, and how
// long they may keep the answer. The list is never empty: an entry that knows of
// no other names itself.
func (g *Gateway) Addresses(domain string) ([]string, time.Duration) {
	near, all := g.peers.ready(g.now(), domain)
	if g.Ready() {
		all = append(all, g.self.CallerAddress)
		if domain == g.self.FailureDomain {
			near = append(near, g.self.CallerAddress)
		}
	}
	list := all
	if len(near) >= minNear {
		list = near
	}
	if len(list) == 0 {
		list = []string{g.self.CallerAddress}
	}
	return list[:min(len(list), maxAddresses)], min(addressTTL, g.maxTTL)
}

// addressTTL is how long callers keep an answer: long enough that the questions
// cost little, and a third of the time in which an entry stops.
const addressTTL = 2 * time.Second
