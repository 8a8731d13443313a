package spread_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	core "github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/measure/spread"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1/nodev1connect"
)

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

type nodeService struct {
	nodev1connect.UnimplementedNodeServiceHandler
}

func (nodeService) Compare(context.Context, *connect.Request[nodev1.CompareRequest]) (*connect.Response[nodev1.CompareResponse], error) {
	return connect.NewResponse(&nodev1.CompareResponse{}), nil
}

// TestFramingIsWhatASocketCarries counts the bytes of a comparison without a body
// on a connection that is already open.
func TestFramingIsWhatASocketCarries(t *testing.T) {
	tests := []struct {
		framing spread.Framing
		http2   bool
		first   int // bytes that the first call needs more
	}{
		{spread.HTTP1, false, 0},
		{spread.HTTP2, true, spread.FirstCallHTTP2},
	}
	for _, tt := range tests {
		t.Run(tt.framing.Name, func(t *testing.T) {
			var sent, received atomic.Int64
			client := newCountedClient(t, tt.http2, &sent, &received)
			call := func() (request, response int64) {
				request, response = sent.Load(), received.Load()
				ctx, cancel := context.WithTimeout(context.Background(), core.CallTimeout)
				defer cancel()
				_, err := client.Compare(ctx, connect.NewRequest(&nodev1.CompareRequest{}))
				require.NoError(t, err)
				return sent.Load() - request, received.Load() - response
			}
			firstSent, firstReceived := call()
			call()
			laterSent, laterReceived := call()
			// The header of the time left has one to three digits.
			require.InDelta(t, tt.framing.Request, laterSent, 3)
			require.InDelta(t, tt.framing.Response, laterReceived, 3)
			require.InDelta(t, tt.first, firstSent+firstReceived-laterSent-laterReceived, 6)
		})
	}
}

func newCountedClient(t *testing.T, http2 bool, sent, received *atomic.Int64) nodev1connect.NodeServiceClient {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var protocols http.Protocols
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	mux := http.NewServeMux()
	mux.Handle(nodev1connect.NewNodeServiceHandler(nodeService{}))
	server := &http.Server{Handler: mux, Protocols: &protocols}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	transport := &http.Transport{
		Protocols:          &protocols,
		DisableCompression: true,
		DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
			conn, err := net.Dial(network, address)
			return countingConn{conn, sent, received}, err
		},
	}
	t.Cleanup(transport.CloseIdleConnections)
	return nodev1connect.NewNodeServiceClient(&http.Client{Transport: transport}, "http://"+listener.Addr().String())
}
