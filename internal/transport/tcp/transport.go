package tcp

import (
	"net"
	"net/http"
)

// NewTransport returns the transport of a client of the system, whose connections the dialer
// opens: each is a Conn, heads are bounded, and there are neither proxies nor compression.
func NewTransport(d *net.Dialer) *http.Transport {
	return &http.Transport{
		DialContext:            Dial(d),
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHead,
	}
}
