package process

import (
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/settings"
)

// withTLS wraps a listener for callers and operators in TLS if the settings name a
// certificate. The files are read once, when the process starts.
func withTLS(l net.Listener, files settings.TLS) (net.Listener, error) {
	if l == nil || !files.Enabled() {
		return l, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CertFile(), files.KeyFile())
	if err != nil {
		return nil, eris.Wrap(err, "load the TLS certificate of callerListen")
	}
	return tls.NewListener(l, &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
	}), nil
}
