package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/agent"
	"github.com/primrosetally/primrosetally/internal/process"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
)

// Intervals of the run.
const (
	watchInterval = 50 * time.Millisecond
	settleTime    = 300 * time.Millisecond
)

// changedShare is the share of the chunks that the second version changes.
const changedShare = 4 // one in four

func (d *deployment) run(ctx context.Context) (Report, error) {
	began := time.Now()
	report := Report{Replicas: d.options.replicas, Killed: d.options.kill}
	weights, err := d.weights()
	if err != nil {
		return report, err
	}
	report.ModelBytes = int64(len(weights))
	first, err := d.publish("1", weights)
	if err != nil {
		return report, err
	}
	if err := d.awaitViews(ctx); err != nil {
		return report, err
	}
	d.options.progress("first version: submit and load")
	if report.FirstSeconds, err = d.rollOut(ctx, first, 0, 0); err != nil {
		return report, err
	}
	d.options.progress("second version: roll out under load")
	load := d.startLoad(ctx, first)
	second, err := d.publish("2", changed(weights, d.options.seed))
	if err != nil {
		return report, err
	}
	load.allow(second.ID())
	if report.SecondSeconds, err = d.rollOut(ctx, second, 1, d.options.kill); err != nil {
		load.stop()
		return report, err
	}
	sleep(ctx, settleTime)
	load.stop()
	load.fill(&report, d.plain.Runs())
	d.fill(&report, second.ID())
	report.ElapsedSeconds = time.Since(began).Seconds()
	return report, nil
}

// awaitViews waits until every process knows of every other.
func (d *deployment) awaitViews(ctx context.Context) error {
	all := append(slices.Clone(d.entries), d.agents...)
	incomplete := func(p *process.Process) bool { return p.Node().View().Len() < len(all) }
	for slices.ContainsFunc(all, incomplete) {
		if !sleep(ctx, watchInterval) {
			return eris.Wrap(ctx.Err(), "processes do not know each other")
		}
	}
	return nil
}

func (d *deployment) weights() ([]byte, error) {
	if d.options.weights != nil {
		data, err := io.ReadAll(d.options.weights)
		return data, eris.Wrap(err, "weights")
	}
	data := make([]byte, d.options.size)
	random := rand.NewChaCha8(digest.Of(fmt.Append(nil, d.options.seed)))
	_, err := random.Read(data)
	return data, err
}

// changed returns a copy of the weights with one chunk in changedShare altered.
func changed(weights []byte, seed uint64) []byte {
	data := bytes.Clone(weights)
	size := int(model.ChunkSizeFor(int64(len(data))))
	for at := int(seed) % changedShare * size; at < len(data); at += changedShare * size {
		data[at] ^= 1
	}
	return data
}

// publish puts a model version into the origin and its manifest into the object
// store.
func (d *deployment) publish(version string, weights []byte) (*model.Manifest, error) {
	store := func(c model.Chunk, data []byte) error {
		d.origin.Store(agent.ChunkPrefix+c.Digest().String(), bytes.Clone(data))
		return nil
	}
	m, err := model.Split("tally", version, bytes.NewReader(weights), model.ChunkSizeFor(int64(len(weights))), store)
	if err != nil {
		return nil, err
	}
	d.objects.Store(agent.ManifestPrefix+m.ID().String(), m.Encode())
	return m, nil
}

// rollOut submits a configuration that names the manifest and waits until every
// replica serves it. It returns the seconds that took.
func (d *deployment) rollOut(ctx context.Context, m *model.Manifest, base uint64, kill int) (float64, error) {
	began := time.Now()
	if err := d.submit(ctx, m, base); err != nil {
		return 0, err
	}
	if base > 0 && d.options.outage > 0 {
		d.tables.SetOutage(true)
		end := time.AfterFunc(d.options.outage, func() { d.tables.SetOutage(false) })
		defer end.Stop()
	}
	for {
		ready, started := d.progressOf(ctx, m.ID())
		if kill > 0 && started {
			d.killAgents(kill)
			kill = 0
		}
		if kill == 0 && ready >= d.options.replicas-len(d.killed) {
			return time.Since(began).Seconds(), nil
		}
		if !sleep(ctx, watchInterval) {
			return 0, eris.Wrapf(ctx.Err(), "%d of %d replicas serve %s", ready, d.options.replicas, m.ID().Short())
		}
	}
}

// teamToken is the token of the demo's only team.
const teamToken = "demo"

func (d *deployment) submit(ctx context.Context, m *model.Manifest, base uint64) error {
	client := adminv1connect.NewAdminServiceClient(httpClient(), "http://"+d.entries[0].Self().CallerAddress())
	request := connect.NewRequest(&adminv1.SubmitRequest{
		File:         "demo.toml",
		Text:         []byte(d.configText(m)),
		ChangeId:     "demo-" + m.Version(),
		BaseRevision: base,
	})
	request.Header().Set("Authorization", "Bearer "+teamToken)
	answer, err := client.Submit(ctx, request)
	if err != nil {
		return eris.Wrap(err, "submit")
	}
	if answer.Msg.GetOutcome() != adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED {
		return eris.Errorf("submit: %s: %s %v", answer.Msg.GetOutcome(), answer.Msg.GetReason(), answer.Msg.GetFaults())
	}
	return nil
}

func (d *deployment) configText(m *model.Manifest) string {
	text := "[deployment]\nname = \"demo\"\nstoreRegion = \"riga\"\n"
	for _, domain := range failureDomains {
		text += fmt.Sprintf("[region.%s]\nfailureDomains = [%q]\nlinkBitsPerSecond = 8000000000\n", domain[:len(domain)-2], domain)
	}
	text += fmt.Sprintf("[team.demo]\ntokenDigest = %q\nadministrator = true\n", digest.Of([]byte(teamToken)))
	text += fmt.Sprintf("[service.%s]\nteam = \"demo\"\nkind = \"model\"\nservers = %d\nmaxUnavailable = %d\nidempotentCompletions = true\ndependsOn = [%q]\n",
		modelService, d.options.replicas, max(1, d.options.replicas/4), plainService)
	text += fmt.Sprintf("[[service.%s.models]]\nname = %q\nversion = %q\nmanifest = %q\n", modelService, m.Name(), m.Version(), m.ID())
	text += fmt.Sprintf("[service.%s]\nteam = \"demo\"\nkind = \"plain\"\nservers = 1\n", plainService)
	return text + fmt.Sprintf("[account.%s]\nteam = \"demo\"\nrequestsPerSecond = 100000\nmaxInFlight = 10000\n", account)
}

// progressOf counts the replicas that serve the manifest and tells whether the
// transfer has begun.
func (d *deployment) progressOf(ctx context.Context, id digest.Digest) (int, bool) {
	ready, started := 0, false
	for _, r := range d.reports(ctx) {
		if bytes.Equal(r.GetWantedDigest(), id[:]) && r.GetChunksStaged() > 0 {
			started = true
		}
		if r.GetState() == nodev1.EndpointState_ENDPOINT_STATE_SERVING && bytes.Equal(r.GetDigest(), id[:]) {
			ready++
		}
	}
	return ready, started
}

// reports returns the reports of the model service's live agents.
func (d *deployment) reports(ctx context.Context) []*nodev1.EndpointReport {
	var list []*nodev1.EndpointReport
	for _, p := range d.agents {
		if d.killed[p.Self().Name()] || p.Self().Service() != modelService {
			continue
		}
		client := d.entries[0].Node().Pool().AgentControl(p.Self().Address())
		answer, err := client.Report(ctx, connect.NewRequest(&nodev1.ReportRequest{}))
		if err == nil {
			list = append(list, answer.Msg)
		}
	}
	return list
}

func (d *deployment) killAgents(n int) {
	for _, p := range d.agents[:min(n, d.options.replicas-1)] {
		d.killed[p.Self().Name()] = true
		p.Kill()
		d.members.Remove(p.Self().Name())
	}
}

func (d *deployment) fill(r *Report, id digest.Digest) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, p := range d.reports(ctx) {
		r.CorruptChunks += p.GetCorruptChunks()
		if p.GetState() == nodev1.EndpointState_ENDPOINT_STATE_SERVING && bytes.Equal(p.GetDigest(), id[:]) {
			r.ReplicasReady++
		}
	}
	r.Killed = len(d.killed)
	r.Revision = d.entries[0].Node().Revision()
	r.OriginBytes = int64(d.origin.Counts().BytesServed)
	r.OriginCopies = float64(r.OriginBytes) / float64(r.ModelBytes)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
