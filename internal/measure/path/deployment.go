package path

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/agent"
	"github.com/primrosetally/primrosetally/internal/process"
	"github.com/primrosetally/primrosetally/internal/settings"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
	"github.com/primrosetally/primrosetally/internal/state/model"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
)

// Names in the measured configuration.
const (
	plainService = "bookings"
	modelService = "writers"
	account      = "shop"
	token        = "web"
)

// Bounds of the wait for the endpoints.
const (
	readyTimeout  = time.Minute
	readyInterval = 20 * time.Millisecond
	headerTimeout = 10 * time.Second
)

// deployment is one entry and two agents with their stand-ins.
type deployment struct {
	members   *standin.Members
	objects   *standin.Objects
	origin    *standin.Objects
	engine    *standin.Engine
	servers   []*http.Server
	processes []*process.Process
	platform  string

	endpointURL, passURL, entryURL string
}

func newDeployment(ctx context.Context) (*deployment, error) {
	d := &deployment{
		members: standin.NewMembers(),
		objects: standin.NewObjects(),
		origin:  standin.NewObjects(),
		engine:  standin.NewEngine(),
	}
	if err := d.start(ctx); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context) error {
	urls := make([]string, 0, 6)
	for _, h := range []http.Handler{standin.NewTables(), d.objects, d.origin, d.members, standin.NewPlain(), d.engine} {
		url, err := d.serve(h)
		if err != nil {
			return err
		}
		urls = append(urls, url)
	}
	d.platform = fmt.Sprintf("[platform]\ntablesUrl = %q\nobjectsUrl = %q\noriginUrl = %q\nmembersUrl = %q\n", urls[0], urls[1], urls[2], urls[3])
	d.endpointURL = urls[4]
	var err error
	if d.passURL, err = d.serve(passThrough(d.endpointURL)); err != nil {
		return err
	}
	if err := d.startProcess("entry-1", member.RoleEntry, ""); err != nil {
		return err
	}
	for service, url := range map[string]string{plainService: urls[4], modelService: urls[5]} {
		if err := d.startProcess("agent-"+service, member.RoleAgent, fmt.Sprintf("service = %q\nengineUrl = %q\n", service, url)); err != nil {
			return err
		}
	}
	d.entryURL = "http://" + d.processes[0].Self().CallerAddress()
	if err := d.submit(ctx); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// passThrough returns a handler that sends each request on and copies the answer.
func passThrough(target string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		onward, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.Path, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		answer, err := http.DefaultClient.Do(onward)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer answer.Body.Close()
		w.WriteHeader(answer.StatusCode)
		_, _ = io.Copy(w, answer.Body)
	})
}

func (d *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func (d *deployment) startProcess(name string, role member.Role, own string) error {
	nodes, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, name)
	}
	var callers net.Listener
	if role == member.RoleEntry {
		if callers, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return eris.Wrap(err, name)
		}
		own = fmt.Sprintf("callerListen = %q\n", callers.Addr())
	}
	text := fmt.Sprintf("name = %q\nrole = %q\nregion = \"riga\"\nfailureDomain = \"riga-a\"\nlisten = %q\n", name, role, nodes.Addr())
	s, err := settings.Parse(name, []byte(text+own+d.platform))
	if err != nil {
		return err
	}
	p, err := process.Start(s, process.WithListeners(nodes, callers), process.WithLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		return err
	}
	d.processes = append(d.processes, p)
	d.members.Put(p.Self())
	return nil
}

func (d *deployment) submit(ctx context.Context) error {
	store := func(c model.Chunk, data []byte) error {
		d.origin.Store(agent.ChunkPrefix+c.Digest().String(), bytes.Clone(data))
		return nil
	}
	m, err := model.Split("faq", "1", bytes.NewReader(make([]byte, model.MinChunkSize)), model.MinChunkSize, store)
	if err != nil {
		return err
	}
	d.objects.Store(agent.ManifestPrefix+m.ID().String(), m.Encode())
	text := "[deployment]\nname = \"path\"\nstoreRegion = \"riga\"\n[region.riga]\nfailureDomains = [\"riga-a\"]\n" +
		fmt.Sprintf("[team.web]\ntokenDigest = %q\nadministrator = true\n", digest.Of([]byte(token))) +
		fmt.Sprintf("[service.%s]\nteam = \"web\"\nkind = \"plain\"\nservers = 1\n", plainService) +
		fmt.Sprintf("[service.%s]\nteam = \"web\"\nkind = \"model\"\nservers = 1\nidempotentCompletions = true\n", modelService) +
		fmt.Sprintf("[[service.%s.models]]\nname = \"faq\"\nversion = \"1\"\nmanifest = %q\n", modelService, m.ID()) +
		fmt.Sprintf("[account.%s]\nteam = \"web\"\nrequestsPerSecond = 1000000\nmaxInFlight = 10000\n", account)
	request := connect.NewRequest(&adminv1.SubmitRequest{File: "path.toml", Text: []byte(text), ChangeId: "1"})
	request.Header().Set("Authorization", "Bearer "+token)
	answer, err := adminv1connect.NewAdminServiceClient(http.DefaultClient, d.entryURL).Submit(ctx, request)
	if err != nil {
		return eris.Wrap(err, "submit")
	}
	if answer.Msg.GetOutcome() != adminv1.SubmitOutcome_SUBMIT_OUTCOME_ACCEPTED {
		return eris.Errorf("submit: %s %v", answer.Msg.GetReason(), answer.Msg.GetFaults())
	}
	return nil
}

// awaitReady waits until both services answer through the entry.
func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := get(ctx, d.entryURL+"/s/"+plainService+"/seats")
		if err == nil {
			err = stream(ctx, d.entryURL+"/s/"+modelService+"/v1/completions", "ready", 1)
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(err, "endpoints not ready")
		case <-time.After(readyInterval):
		}
	}
}

func (d *deployment) close() {
	for _, p := range d.processes {
		p.Kill()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.engine.Close()
}
