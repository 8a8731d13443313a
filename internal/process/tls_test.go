package process_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/process"
	"github.com/primrosetally/primrosetally/internal/settings"
	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/pkg/adminv1"
	"github.com/primrosetally/primrosetally/pkg/adminv1/adminv1connect"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func writeCertificate(t *testing.T, certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	writePEM(t, certFile, "CERTIFICATE", certificate)
	writePEM(t, keyFile, "PRIVATE KEY", private)
}

func writePEM(t *testing.T, file, kind string, data []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
}

// tlsEntrySettings returns the settings of an entry that serves callers over TLS.
func tlsEntrySettings(t *testing.T, nodes, callers net.Listener, certFile, keyFile string) *settings.Settings {
	t.Helper()
	text := fmt.Sprintf("name = \"entry-1\"\nrole = \"entry\"\nregion = \"riga\"\nfailureDomain = \"riga-a\"\nlisten = %q\ncallerListen = %q\n", nodes.Addr(), callers.Addr())
	text += fmt.Sprintf("[platform]\ntablesUrl = %q\nobjectsUrl = %q\noriginUrl = %q\nmembersUrl = %q\n",
		serve(t, standin.NewTables()), serve(t, standin.NewObjects()), serve(t, standin.NewObjects()), serve(t, standin.NewMembers()))
	text += fmt.Sprintf("[tls]\ncertFile = %q\nkeyFile = %q\n", certFile, keyFile)
	s, err := settings.Parse("entry.toml", []byte(text))
	require.NoError(t, err)
	return s
}

func TestCallersOverTLS(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "entry.pem"), filepath.Join(dir, "entry.key")
	writeCertificate(t, certFile, keyFile)
	nodes, callers := listen(t), listen(t)
	p, err := process.Start(tlsEntrySettings(t, nodes, callers, certFile, keyFile),
		process.WithListeners(nodes, callers), process.WithLogger(slog.New(slog.DiscardHandler)))
	require.NoError(t, err)
	defer p.Kill()
	trusted := x509.NewCertPool()
	data, err := os.ReadFile(certFile)
	require.NoError(t, err)
	require.True(t, trusted.AppendCertsFromPEM(data))
	tests := []struct {
		name   string
		scheme string
		roots  *x509.CertPool
		ok     bool
	}{
		{"trusted authority", "https", trusted, true},
		{"untrusted authority", "https", x509.NewCertPool(), false},
		{"no TLS", "http", trusted, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: tt.roots}}
			defer transport.CloseIdleConnections()
			client := adminv1connect.NewAdminServiceClient(&http.Client{Transport: transport}, tt.scheme+"://"+callers.Addr().String())
			_, err := client.Status(t.Context(), connect.NewRequest(&adminv1.StatusRequest{}))
			require.Equal(t, tt.ok, err == nil, "%v", err)
		})
	}
}

func TestMissingCertificate(t *testing.T) {
	nodes, callers := listen(t), listen(t)
	defer nodes.Close()
	defer callers.Close()
	s := tlsEntrySettings(t, nodes, callers, filepath.Join(t.TempDir(), "none.pem"), "none.key")
	_, err := process.Start(s, process.WithListeners(nodes, callers))
	require.ErrorIs(t, err, os.ErrNotExist)
}
