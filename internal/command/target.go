package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/transport/tcp"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
)

// dialTimeout bounds the time to connect to an entry.
const dialTimeout = 30 * time.Second

// operatorTimeout bounds one call of the administration API.
const operatorTimeout = 30 * time.Second

// tokenVariable is the environment variable of the team's token.
const tokenVariable = "PRIMROSETALLY_TOKEN"

// target is the entry that an operators' command speaks to.
type target struct {
	address string
	token   string
	caFile  string
}

// flags adds the options that name the entry.
func (t *target) flags(sub *flaggy.Subcommand) {
	sub.String(&t.address, "e", "entry", "address of an entry")
	sub.String(&t.token, "t", "token", "token of the team; "+tokenVariable+" where absent")
	sub.String(&t.caFile, "a", "ca", "PEM file of the authorities of the entry's certificate; plain HTTP where absent")
}

// client returns a client of the entry that sends the token with each call.
func (t *target) client() (adminv1connect.AdminServiceClient, error) {
	token := t.token
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	scheme, transport, err := t.transport()
	if err != nil {
		return nil, err
	}
	h := &http.Client{Timeout: operatorTimeout, Transport: transport}
	return adminv1connect.NewAdminServiceClient(h, scheme+"://"+t.address, connect.WithInterceptors(sendToken(token))), nil
}

func (t *target) transport() (string, *http.Transport, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = tcp.Dial(&net.Dialer{Timeout: dialTimeout})
	if t.caFile == "" {
		return "http", transport, nil
	}
	pem, err := os.ReadFile(t.caFile)
	if err != nil {
		return "", nil, err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return "", nil, eris.Errorf("%s holds no certificate", t.caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}
	return "https", transport, nil
}

func sendToken(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				r.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, r)
		}
	}
}
