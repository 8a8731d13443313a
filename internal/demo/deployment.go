package demo

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/process"
	"github.com/primrosetally/primrosetally/internal/settings"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Properties of the stand-ins.
const (
	tokenDelay = 2 * time.Millisecond
	workDelay  = 5 * time.Millisecond
)

// failureDomains are the places of the demonstration.
var failureDomains = []string{"riga-a", "liepaja-a", "daugavpils-a"}

// deployment is a running system with its stand-ins.
type deployment struct {
	options options

	tables  *standin.Tables
	objects *standin.Objects
	origin  *standin.Objects
	members *standin.Members
	plain   *standin.Plain
	engines []*standin.Engine

	urls    platformURLs
	entries []*process.Process
	agents  []*process.Process
	killed  map[string]bool

	mu      sync.Mutex
	servers []*http.Server
}

type platformURLs struct {
	tables, objects, origin, members string
}

func newDeployment(o options) (*deployment, error) {
	d := &deployment{
		options: o,
		tables:  standin.NewTables(),
		objects: standin.NewObjects(standin.WithSeed(o.seed)),
		origin:  standin.NewObjects(standin.WithSeed(o.seed)),
		members: standin.NewMembers(),
		plain:   standin.NewPlain(standin.WithWork(workDelay)),
		killed:  make(map[string]bool),
	}
	d.origin.CorruptFraction(o.corrupt)
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start() error {
	handlers := []struct {
		handler http.Handler
		url     *string
	}{
		{d.tables, &d.urls.tables},
		{d.objects, &d.urls.objects},
		{d.origin, &d.urls.origin},
		{d.members, &d.urls.members},
	}
	for _, h := range handlers {
		url, err := d.serve(h.handler)
		if err != nil {
			return err
		}
		*h.url = url
	}
	for i := range entryCount {
		p, err := d.startProcess(fmt.Sprintf("entry-%d", i+1), member.RoleEntry, i, "", "")
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	for i := range d.options.replicas {
		engine := standin.NewEngine(standin.WithTokenDelay(tokenDelay), standin.WithEngineSeed(d.options.seed+uint64(i)))
		d.engines = append(d.engines, engine)
		if err := d.startAgent(fmt.Sprintf("writer-%d", i+1), i, modelService, engine); err != nil {
			return err
		}
	}
	return d.startAgent("ledger-1", 0, plainService, d.plain)
}

func (d *deployment) startAgent(name string, place int, service string, endpoint http.Handler) error {
	url, err := d.serve(endpoint)
	if err != nil {
		return err
	}
	p, err := d.startProcess(name, member.RoleAgent, place, service, url)
	if err != nil {
		return err
	}
	d.agents = append(d.agents, p)
	return nil
}

// serve serves a stand-in on a port of loopback and returns its URL.
func (d *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "stand-in")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: runTimeout}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func (d *deployment) startProcess(name string, role member.Role, place int, service, engineURL string) (*process.Process, error) {
	nodes, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	var callers net.Listener
	if role == member.RoleEntry {
		if callers, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, eris.Wrap(err, name)
		}
	}
	s, err := settings.Parse(name, d.settingsText(name, role, place, service, engineURL, nodes, callers))
	if err != nil {
		return nil, err
	}
	p, err := process.Start(s, process.WithListeners(nodes, callers), process.WithLogger(d.options.logger))
	if err != nil {
		return nil, err
	}
	d.members.Put(p.Self())
	return p, nil
}

func (d *deployment) settingsText(name string, role member.Role, place int, service, engineURL string, nodes, callers net.Listener) []byte {
	domain := failureDomains[place%len(failureDomains)]
	text := fmt.Sprintf("name = %q\nrole = %q\nregion = %q\nfailureDomain = %q\nlisten = %q\n",
		name, role, domain[:len(domain)-2], domain, nodes.Addr())
	if callers != nil {
		text += fmt.Sprintf("callerListen = %q\n", callers.Addr())
	}
	if role == member.RoleAgent {
		text += fmt.Sprintf("service = %q\nengineUrl = %q\n", service, engineURL)
	}
	text += fmt.Sprintf("[platform]\ntablesUrl = %q\nobjectsUrl = %q\noriginUrl = %q\nmembersUrl = %q\n",
		d.urls.tables, d.urls.objects, d.urls.origin, d.urls.members)
	return []byte(text + "[budgets]\nuploadBytesPerSecond = 1000000000\nregionLinkBytesPerSecond = 1000000000\noriginBytesPerSecond = 1000000000\n")
}

func (d *deployment) close() {
	for _, p := range append(d.entries, d.agents...) {
		if !d.killed[p.Self().Name()] {
			p.Kill()
		}
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	for _, e := range d.engines {
		e.Close()
	}
}
