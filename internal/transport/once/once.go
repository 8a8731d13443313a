// Package once sends HTTP requests that must reach the peer at most once.
//
// The transport of net/http repeats a request by itself when a kept-alive
// connection breaks and the request looks replayable: its method is GET, HEAD,
// OPTIONS or TRACE, or it carries an Idempotency-Key header, or nothing was
// written yet and the body can be rewound. A request whose body is set, of
// unknown type and cannot be rewound is never repeated, so this package gives
// every request such a body, an empty one included. Redirects are not followed.
//
// # Usage
//
//	client := once.NewClient(once.NewTransport())
//	response, err := client.Do(ctx, request)
//	switch {
//	case errors.Is(err, once.ErrNotSent): // no byte left this process
//	case err != nil:                      // the peer may have acted
//	}
package once

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/primrosetally/primrosetally/internal/protocol/http1"
	"github.com/primrosetally/primrosetally/internal/transport/tcp"
)

// ErrNotSent is returned when no connection was had, so that the peer has
// received nothing of the request.
var ErrNotSent = eris.New("request not sent")

// ErrNoAnswer is returned when a connection was had and no answer came over it, or
// one with a status that is none of HTTP's or a malformed name of a field. The peer may
// have acted on the request.
var ErrNoAnswer = eris.New("no answer to the request")

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	idleConnsAHost  = 256
)

// Client sends requests at most once. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewTransport returns a transport for one peer: without proxies, compression
// or HTTP/2.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := tcp.NewTransport(dialer)
	t.DialContext = dial(dialer)
	t.MaxIdleConnsPerHost = idleConnsAHost
	t.IdleConnTimeout = idleConnTimeout
	return t
}

// NewClient returns a client over the transport.
func NewClient(transport *http.Transport) *Client {
	keepRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: keepRedirect}}
}

// Do sends the request, which it changes, and returns the response. The error
// is ErrNotSent or ErrNoAnswer.
func (c *Client) Do(ctx context.Context, r *http.Request) (*http.Response, error) {
	ctx, connected := Track(ctx)
	forbidReplay(r)
	response, err := c.http.Do(r.WithContext(ctx))
	switch {
	case err != nil && !connected():
		return nil, eris.Wrapf(ErrNotSent, "%v", err)
	case err != nil:
		return nil, eris.Wrapf(ErrNoAnswer, "%v", err)
	case !http1.FinalStatus(response.StatusCode):
		response.Body.Close()
		return nil, eris.Wrapf(ErrNoAnswer, "status %03d is none of a final answer", response.StatusCode)
	case !http1.ValidNames(response.Header): // over TLS the connection does not check them
		response.Body.Close()
		return nil, eris.Wrapf(ErrNoAnswer, "%v", http1.ErrFieldName)
	}
	response.Body = http1.CheckTrailer(response)
	return response, nil
}

// Track returns a context for one request of any client of net/http, and a
// function that reports whether the request has had a connection. As long as it
// reports false the peer has received nothing.
func Track(ctx context.Context) (context.Context, func() bool) {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			if c, own := info.Conn.(*conn); own {
				c.expectHead()
			}
		},
	}
	return httptrace.WithClientTrace(ctx, trace), connected.Load
}

// forbidReplay sets a body that cannot be rewound.
func forbidReplay(r *http.Request) {
	if r.Body == nil {
		r.Body = http.NoBody
	}
	r.Body = body{r.Body}
	r.GetBody = nil
}

// body hides the concrete type, http.NoBody above all, from the transport.
type body struct {
	io.ReadCloser
}
