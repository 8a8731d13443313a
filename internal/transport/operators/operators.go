// Package operators serves the administration API to operators and their
// programs, by connect over HTTP with protobuf or JSON.
//
// Calls carry the token of a team as a bearer token. A change is made under the
// token as the base of the change knows it; every other call under the token as
// the configuration in force at this entry does. Before the first revision
// there are no tokens: then Check and Status are open, and Submit takes a first
// text from the holder of the token of an administrator that the text itself
// names.
//
// A team may change its own sections and drain the endpoints of its own
// services. Administrators may drain every endpoint and clear the quarantine.
//
// # Usage
//
//	h := operators.New(acceptor,
//		operators.WithInForce(inForce),
//		operators.WithAccepted(push),
//		operators.WithStatus(status))
//	h.Register(mux)
package operators

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/coordination/accept"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/snapshot"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
	"github.com/primrosetally/primrosetally/pkg/configtext"
)

// ErrUnknownInstance is returned by a drain of an instance that isn't known.
var ErrUnknownInstance = eris.New("no such endpoint instance")

// maxRequestBytes bounds a request: a text and what goes with it.
const maxRequestBytes = configtext.MaxTextBytes + 64<<10

// Handler implements adminv1connect.AdminServiceHandler. What an entry can't do
// answers with the code unimplemented.
type Handler struct {
	acceptor         *accept.Acceptor
	inForce          func() *configtext.Config
	accepted         func(ctx context.Context, head snapshot.Head, cfg *configtext.Config)
	manifestExists   func(ctx context.Context, d digest.Digest) (bool, error)
	status           func(ctx context.Context) (*adminv1.StatusResponse, error)
	serviceOf        func(instance string) (service string, found bool)
	drain            func(ctx context.Context, instance string) (inFlight uint32, err error)
	quarantineList   func(ctx context.Context) ([]*adminv1.QuarantineEntry, error)
	quarantineClear  func(ctx context.Context, fingerprint string) (cleared bool, err error)
	unimplementedRPC adminv1connect.UnimplementedAdminServiceHandler
}

// Option sets a property of a handler.
type Option func(*Handler)

// New returns a handler that hands changes to acceptor.
func New(acceptor *accept.Acceptor, options ...Option) *Handler {
	h := &Handler{
		acceptor: acceptor,
		inForce:  func() *configtext.Config { return nil },
		accepted: func(context.Context, snapshot.Head, *configtext.Config) {},
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// WithInForce sets where the configuration in force is found, nil before the
// first revision.
func WithInForce(inForce func() *configtext.Config) Option {
	return func(h *Handler) { h.inForce = inForce }
}

// WithAccepted sets what is done with a revision right after its acceptance. It
// is called again for a change that was accepted earlier, since the entry that
// accepted it may have been killed before its first push.
func WithAccepted(accepted func(ctx context.Context, head snapshot.Head, cfg *configtext.Config)) Option {
	return func(h *Handler) { h.accepted = accepted }
}

// WithManifestExists sets how Check looks up manifests.
func WithManifestExists(exists func(ctx context.Context, d digest.Digest) (bool, error)) Option {
	return func(h *Handler) { h.manifestExists = exists }
}

// WithStatus sets how the state of all processes is gathered.
func WithStatus(status func(ctx context.Context) (*adminv1.StatusResponse, error)) Option {
	return func(h *Handler) { h.status = status }
}

// WithDrain sets how the service of an endpoint instance is found and how its
// graceful stop is started. The error of drain matches ErrUnknownInstance where
// there is no such instance.
func WithDrain(
	serviceOf func(instance string) (service string, found bool),
	drain func(ctx context.Context, instance string) (inFlight uint32, err error),
) Option {
	return func(h *Handler) {
		h.serviceOf = serviceOf
		h.drain = drain
	}
}

// WithQuarantine sets how quarantined requests are listed and cleared. The error
// of clearOne matches digest.ErrMalformed for what is no fingerprint.
func WithQuarantine(
	list func(ctx context.Context) ([]*adminv1.QuarantineEntry, error),
	clearOne func(ctx context.Context, fingerprint string) (cleared bool, err error),
) Option {
	return func(h *Handler) {
		h.quarantineList = list
		h.quarantineClear = clearOne
	}
}

// Register adds the handler to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	path, service := adminv1connect.NewAdminServiceHandler(h, connect.WithReadMaxBytes(maxRequestBytes))
	mux.Handle(path, service)
}

// scheme leads the token in the Authorization header.
const scheme = "Bearer "

func tokenOf(header http.Header) string {
	value := header.Get("Authorization")
	if len(value) < len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return ""
	}
	return value[len(scheme):]
}

// team returns the team whose token the header carries, by the configuration in
// force. Before the first revision it returns false.
func (h *Handler) team(header http.Header) (configtext.Team, bool, error) {
	cfg := h.inForce()
	if cfg == nil {
		return configtext.Team{}, false, nil
	}
	team, found := cfg.TeamOfToken(tokenOf(header))
	if !found {
		return configtext.Team{}, false, connect.NewError(connect.CodeUnauthenticated, eris.New("token belongs to no team"))
	}
	return team, true, nil
}

// knownTeam is team for calls that are refused before the first revision.
func (h *Handler) knownTeam(header http.Header) (configtext.Team, error) {
	team, found, err := h.team(header)
	if err == nil && !found {
		err = connect.NewError(connect.CodeFailedPrecondition, eris.New("no configuration is in force at this entry"))
	}
	return team, err
}
