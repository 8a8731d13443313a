package gateway

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// Datagrams may come from anyone. None may crash the process or make its memory grow.
func FuzzDatagram(f *testing.F) {
	seed := func(m *nodev1.Datagram) {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	seed(&nodev1.Datagram{})
	seed(&nodev1.Datagram{Content: &nodev1.Datagram_Summary{Summary: &nodev1.EntrySummary{
		Address: "10.0.0.2:1", Region: "riga", Echo: uint64(59 * time.Second), EchoIncarnation: 7, ConfirmedAgeUs: age(time.Second),
		Endpoints: []uint32{1, 2}, InFlight: []uint32{1}, Unread: []uint32{1 << 31},
		Refused: []uint64{1, 2}, RefusedAgeMs: []uint32{1}, Weights: []*nodev1.NamedWeights{{Model: "m", Version: 9, AgeUs: 1 << 63, Exact: true}},
	}}})
	seed(&nodev1.Datagram{Content: &nodev1.Datagram_Notice{Notice: &nodev1.EndpointNotice{Address: "10.0.0.9:1", Model: "m", Version: -1}}})
	seed(&nodev1.Datagram{Content: &nodev1.Datagram_CrashReport{CrashReport: &nodev1.CrashReport{
		Crashes: []*nodev1.EndpointCrash{{Endpoint: 1, Started: -1, AgeMs: 1 << 31, Attempts: []*nodev1.CrashedAttempt{{Whole: 1, Parts: []uint64{1, 2}, Progress: 9}}}},
		Sound:   []uint64{1, 2}, SoundAgeMs: []uint32{3},
	}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m nodev1.Datagram
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		g := newGateway(&clock{at: time.Minute}, WithVersionBound(8*time.Second, func(TargetVersion) {}))
		g.ApplyConfiguration(fleet.NewConfiguration(1), nil)
		g.ApplyEndpoints([]*fleet.Endpoint{fleet.NewEndpoint("e", "s", "10.0.0.9:1")})
		for range 2 {
			if s := m.GetSummary(); s != nil {
				g.ReceiveSummary(t.Context(), s)
			}
			if n := m.GetNotice(); n != nil {
				g.ReceiveNotice(t.Context(), n)
			}
			if r := m.GetQuotaReport(); r != nil {
				g.ReceiveQuotaReport(t.Context(), r)
			}
			if a := m.GetQuotaAnnouncement(); a != nil {
				g.ReceiveQuotaAnnouncement(t.Context(), a)
			}
			if r := m.GetQuotaGrant(); r != nil {
				g.ReceiveQuotaGrant(t.Context(), r)
			}
			if r := m.GetCrashReport(); r != nil {
				g.ReceiveCrashReport(t.Context(), r)
			}
			g.reportCrashes()
			g.quotaRound(t.Context(), g.now())
			g.sendSummaries(true)
			g.notifyAgents()
		}
	})
}
