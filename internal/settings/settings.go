// Package settings reads the settings of one process from a TOML file: its name and
// role, its addresses, its region and failure domain, the addresses of the platform's
// services, its rate limits, and its tracing, logging, TLS and tokens. docs/CONFIG.md
// specifies every key.
//
// The whole file is validated before an error is returned, and the error lists every
// fault with its file, line and key. Unknown keys are faults. A process starts only if
// its settings have no faults. Hosts are given as IP addresses, because a process
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

// ErrInvalid matches, by errors.Is, the error for settings that have faults.
var ErrInvalid = tomltext.ErrInvalid

// Fault is one error in a settings file.
type Fault = tomltext.Fault

// Faults holds every error found in one settings file, ordered by line.
type Faults = tomltext.Faults

// MaxBytes is the maximum size of a settings file in bytes.
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

// Load reads and validates a settings file. The error is of type Faults if the text
// has faults, and wraps that of the file system if the file can't be read.
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

// Parse reads and validates the text of a settings file. Its faults name the given
// file. The error is of type Faults.
func Parse(file string, text []byte) (*Settings, error) {
	doc, ok := tomltext.Parse(file, text, MaxBytes)
	if !ok {
		return nil, doc.Err()
	}
	s := readSettings(doc.Root())
	doc.RefuseUnknown()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Name returns the name of the process, unique in the deployment.
func (s *Settings) Name() string { return s.name }

// Role returns the role of the process: entry or agent.
func (s *Settings) Role() member.Role { return s.role }

// Listen returns the listen address for the system's other processes.
func (s *Settings) Listen() netip.AddrPort { return s.listen }

// CallerListen returns an entry's listen address for callers and operators.
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
func (s *Settings) EngineURL() string { return urlString(s.engineURL) }

// Platform returns the addresses of the platform's services.
func (s *Settings) Platform() Platform { return s.platform }

// Budgets returns the rate limits of the process.
func (s *Settings) Budgets() Budgets { return s.budgets }

// Trace returns the settings of the span exporter.
func (s *Settings) Trace() Trace { return s.trace }

// Log returns the settings of the log.
func (s *Settings) Log() Log { return s.log }

// TLS returns the files for TLS; all are empty if plain TCP is used.
func (s *Settings) TLS() TLS { return s.tls }

// Tokens returns the tokens with which the process authenticates itself.
func (s *Settings) Tokens() Tokens { return s.tokens }

// String returns the role and the name, without secrets.
func (s *Settings) String() string { return string(s.role) + " " + s.name }

// GoString implements fmt.GoStringer without secrets.
func (s *Settings) GoString() string { return s.String() }

func urlString(u *url.URL) string {
	if u == nil {
		return ""
	}
	return u.String()
}
