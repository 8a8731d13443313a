package gateway

import (
	"time"

	"github.com/primrosetally/primrosetally/internal/boottime"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
)

// maxEarlierVersions bounds the versions whose last confirmations are kept.
const maxEarlierVersions = 8

// confirmation is the last time at which a version of the configuration was the newest in
// force. It holds for that time also once there are newer ones.
type confirmation struct {
	version int64
	at      time.Duration
}

// confirmed returns the last time at which, according to a peer, the given version was the
// newest in force, 0 for never.
func (p *peers) confirmed(version int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.confirmedVersion == version {
		return p.confirmedAt
	}
	for _, c := range p.earlierVersions {
		if c.version == version {
			return c.at
		}
	}
	return 0
}

// lastConfirmed returns the last time at which, according to a peer, it had the newest version
// from the store, whichever that was; 0 for never.
func (p *peers) lastConfirmed() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedAt
}

// confirm records the confirmation in a summary with its time. The sender echoes a
// stamp of this process, so it wrote the summary after that stamp, and its
// confirmation then had the age it states. The resulting time is a lower bound,
// whatever the network delay of the summary.
func (p *peers) confirm(m *nodev1.EntrySummary, now time.Duration) {
	if !p.echoes(m, now) || m.ConfirmedAgeUs == nil {
		return
	}
	if m.GetConfigurationVersion() < p.confirmedVersion {
		return // it has read a store that came back from an older copy
	}
	at := time.Duration(m.GetEcho()) - boottime.AgeFromMicros(m.GetConfirmedAgeUs())
	if m.GetConfigurationVersion() > p.confirmedVersion && p.confirmedAt > 0 {
		p.earlierVersions = append(p.earlierVersions, confirmation{version: p.confirmedVersion, at: p.confirmedAt})
		p.earlierVersions = p.earlierVersions[max(len(p.earlierVersions)-maxEarlierVersions, 0):]
	}
	if at > p.confirmedAt || m.GetConfigurationVersion() > p.confirmedVersion {
		p.confirmedAt = at
		p.confirmedVersion = m.GetConfigurationVersion()
		p.confirmedWeights = m.GetWeights()
	}
}

// confirmedWithout returns the last time at which, according to a peer, the target
// version of weights was not set yet, 0 for never. A sender reads its weights after
// the age of its confirmation, so the weights are not older than the confirmation.
func (p *peers) confirmedWithout(model string, version int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.confirmedWeights {
		if n.GetModel() == model && n.GetVersion() >= version {
			return 0
		}
	}
	return p.confirmedAt
}

// echoes reports whether a summary was written after a stamp of this process.
func (p *peers) echoes(m *nodev1.EntrySummary, now time.Duration) bool {
	return m.GetEcho() != 0 && m.GetEchoIncarnation() == p.incarnation && m.GetEcho() <= uint64(now)
}
