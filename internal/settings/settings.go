// Package settings reads the settings of one process: a TOML file with its
// addresses, its place, the platform's addresses and its budgets. docs/CONFIG.md
// specifies every key.
//
// A file is checked whole. Every fault is reported in one go with file, line
// and key, unknown keys are refused, and a process starts nothing unless its
// settings are free of faults. Addresses are IP numbers, since a process
// resolves no host names.
//
// # Usage
//
//	s, err := settings.Load("entry.toml")
//	if errors.Is(err, settings.ErrInvalid) {
//		fmt.Fprintln(os.Stderr, err) // one line for each fault
//		os.Exit(2)
//	}
//	listener, err := net.Listen("tcp", s.Listen().String())
package settings

import (
	"io"
	"net/netip"
	"net/url"
	"os"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/protocol/tomltext"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// ErrInvalid is matched by the error of settings with faults.
var ErrInvalid = tomltext.ErrInvalid

// Fault is one error in a settings file.
type Fault = tomltext.Fault

// Faults holds every error found in one settings file, ordered by line.
type Faults = tomltext.Faults

// MaxBytes bounds a settings file.
const MaxBytes = 64 << 10

// Settings are the settings of one process. They are immutable.
type Settings struct {
	name          string
	role          member.Role
	listen        netip.AddrPort
	callerListen  netip.AddrPort
	advertise     netip.AddrPort
	region        string
	failureDomain string
	service       string
	engineURL     *url.URL
	platform      Platform
	budgets       Budgets
	trace         Trace
	log           Log
	tls           TLS
	tokens        Tokens
}

// Load reads a settings file. The error is Faults where the text has faults,
// and that of the file system where it can't be read.
func Load(file string) (*Settings, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return nil, eris.Wrapf(err, "settings: read %s", file)
	}
	return Parse(file, text)
}

// Parse reads the text of a settings file. The error is Faults.
func Parse(file string, text []byte) (*Settings, error) {
	doc, ok := tomltext.Parse(file, text, MaxBytes)
	if !ok {
		return nil, doc.Err()
	}
	s := read(doc.Root())
	doc.RefuseUnknown()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Name returns the name of the process, unique in the deployment.
func (s *Settings) Name() string { return s.name }

// Role returns what the process does.
func (s *Settings) Role() member.Role { return s.role }

// Listen returns the address for the system's own processes.
func (s *Settings) Listen() netip.AddrPort { return s.listen }

// CallerListen returns the address of an entry for callers and operators.
func (s *Settings) CallerListen() netip.AddrPort { return s.callerListen }

// Advertise returns the address at which other processes reach this one.
func (s *Settings) Advertise() netip.AddrPort { return s.advertise }

// Region returns the region that the process runs in.
func (s *Settings) Region() string { return s.region }

// FailureDomain returns the failure domain that the process runs in.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// Service returns the service of an agent's endpoint, empty for an entry.
func (s *Settings) Service() string { return s.service }

// EngineURL returns the address of an agent's endpoint, empty for an entry.
func (s *Settings) EngineURL() string { return text(s.engineURL) }

// Platform returns the addresses of the platform.
func (s *Settings) Platform() Platform { return s.platform }

// Budgets returns the rates that the process keeps to.
func (s *Settings) Budgets() Budgets { return s.budgets }

// Trace returns where spans go.
func (s *Settings) Trace() Trace { return s.trace }

// Log returns the settings of the log.
func (s *Settings) Log() Log { return s.log }

// TLS returns the files for TLS; all are empty where plain TCP is used.
func (s *Settings) TLS() TLS { return s.tls }

// Tokens returns the secrets that the process presents.
func (s *Settings) Tokens() Tokens { return s.tokens }

// String returns the role and the name, and no secrets.
func (s *Settings) String() string { return string(s.role) + " " + s.name }

// GoString implements fmt.GoStringer without the secrets.
func (s *Settings) GoString() string { return s.String() }

func text(u *url.URL) string {
	if u == nil {
		return ""
	}
	return u.String()
}
