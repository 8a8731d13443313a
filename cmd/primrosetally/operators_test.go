package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// modelBytes gives sixteen chunks.
const modelBytes = 1 << 20

// teamToken is the secret of the team that submits the texts.
const teamToken = "web"

// callTimeout bounds one call of the test to a process, which may be frozen.
const callTimeout = 5 * time.Second

// primrosetally runs one command to its end and returns its output.
func primrosetally(t *testing.T, arguments ...string) string {
	t.Helper()
	command := exec.Command(binary, arguments...)
	command.Env = append(os.Environ(), "PRIMROSETALLY_TOKEN="+teamToken)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	out, err := command.Output()
	require.NoError(t, err, "%v: %s", arguments, stderr.String())
	return strings.TrimSpace(string(out))
}

// publish uploads seeded random weights, a quarter of whose chunks depend on
// the version, and returns the manifest ID.
func (d *deployment) publish(t *testing.T, version string) digest.Digest {
	t.Helper()
	weights := make([]byte, modelBytes)
	_, err := rand.NewChaCha8(digest.Of([]byte("weights"))).Read(weights)
	require.NoError(t, err)
	_, err = rand.NewChaCha8(digest.Of([]byte(version))).Read(weights[:modelBytes/4])
	require.NoError(t, err)
	file := filepath.Join(d.dir, "weights-"+version)
	require.NoError(t, os.WriteFile(file, weights, 0o600))
	id, err := digest.Parse(primrosetally(t, "publish", file, "--name", "faq", "--modelVersion", version,
		"--objects", d.objects, "--origin", d.origin))
	require.NoError(t, err)
	return id
}

// submit submits a text that names the manifest, after the base revision.
func (d *deployment) submit(t *testing.T, id digest.Digest, version string, base int) {
	t.Helper()
	file := filepath.Join(d.dir, "config-"+version+".toml")
	require.NoError(t, os.WriteFile(file, []byte(configText(id, version)), 0o600))
	out := primrosetally(t, "submit", file, "--entry", d.entries[0].self.CallerAddress(),
		"--token", "web", "--base", fmt.Sprint(base), "--changeId", "change-"+version)
	require.Equal(t, fmt.Sprintf("accepted as revision %d", base+1), out)
}

func configText(id digest.Digest, version string) string {
	text := "[deployment]\nname = \"processes\"\nstoreRegion = \"riga\"\n"
	for _, domain := range failureDomains {
		text += fmt.Sprintf("[region.%s]\nfailureDomains = [%q]\n", strings.TrimSuffix(domain, "-a"), domain)
	}
	text += fmt.Sprintf("[team.web]\ntokenDigest = %q\nadministrator = true\n", digest.Of([]byte(teamToken)))
	text += fmt.Sprintf("[service.%s]\nteam = \"web\"\nkind = \"model\"\nservers = 3\nmaxUnavailable = 1\nidempotentCompletions = true\n", modelService)
	text += fmt.Sprintf("[[service.%s.models]]\nname = \"faq\"\nversion = %q\nmanifest = %q\n", modelService, version, id)
	text += fmt.Sprintf("[service.%s]\nteam = \"web\"\nkind = \"plain\"\nservers = 1\n", plainService)
	return text + fmt.Sprintf("[account.%s]\nteam = \"web\"\nrequestsPerSecond = 100000\nmaxInFlight = 10000\n", account)
}

// report asks an agent for its state, nil if it does not answer.
func report(p *proc) *nodev1.EndpointReport {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := nodev1connect.NewAgentServiceClient(http.DefaultClient, "http://"+p.self.Address())
	answer, err := client.Report(ctx, connect.NewRequest(&nodev1.ReportRequest{}))
	if err != nil {
		return nil
	}
	return answer.Msg
}

// revision asks a process for the revision in force, 0 if it does not answer.
func revision(p *proc) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	client := nodev1connect.NewNodeServiceClient(http.DefaultClient, "http://"+p.self.Address())
	answer, err := client.Compare(ctx, connect.NewRequest(&nodev1.CompareRequest{}))
	if err != nil {
		return 0
	}
	return answer.Msg.GetRevision()
}

// serves reports whether the agent admits requests for exactly the manifest.
func serves(p *proc, id digest.Digest) bool {
	r := report(p)
	return r.GetState() == nodev1.EndpointState_ENDPOINT_STATE_SERVING && bytes.Equal(r.GetDigest(), id[:])
}

// waitServing waits until each of the agents serves the manifest.
func waitServing(t *testing.T, id digest.Digest, agents ...*proc) {
	t.Helper()
	for _, p := range agents {
		t.Cleanup(func() {
			if t.Failed() && p.running() {
				t.Logf("%s reports %v", p.name, report(p))
			}
		})
		waitFor(t, p.name+" serves "+id.Short(), func() bool { return serves(p, id) })
	}
}

// control sets faults of a stand-in.
func control(t *testing.T, url, faults string) {
	t.Helper()
	answer, err := http.Post(url+standin.PathControl, "application/json", strings.NewReader(faults))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusOK, answer.StatusCode)
}

func (d *deployment) controlEngines(t *testing.T, faults string) {
	t.Helper()
	for _, url := range d.engines {
		control(t, url, faults)
	}
}

// inFlight counts the attempts in progress at the agents of the model service.
func (d *deployment) inFlight() int {
	n := 0
	for _, p := range d.agents[:3] {
		if p.running() {
			n += int(report(p).GetInFlight())
		}
	}
	return n
}

// ready reports whether the process says that it is ready.
func ready(p *proc) bool {
	answer, err := http.Get("http://" + p.self.Address() + telemetry.PathReadiness)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// callOnce sends one completion by the command line and reports whether it was
// answered.
func (d *deployment) callOnce(spans string) bool {
	return exec.Command(binary, "call", modelService, "--entry", d.entries[0].self.CallerAddress(),
		"--account", account, "--data", `{"prompt":"a","maxTokens":2}`, "--spans", spans).Run() == nil
}

// span is the part of a written span that the tests read.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

func spansOf(t *testing.T, file string) []span {
	t.Helper()
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	var spans []span
	lines := json.NewDecoder(bytes.NewReader(data))
	for lines.More() {
		var s span
		require.NoError(t, lines.Decode(&s))
		spans = append(spans, s)
	}
	return spans
}
