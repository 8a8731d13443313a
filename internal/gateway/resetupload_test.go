package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosetally/primrosetally/internal/standin"
	"github.com/primrosetally/primrosetally/internal/state/fleet"
)

// longUpload is the size in bytes of a body that is still written when its endpoint answers.
const longUpload = 8 << 20

// startPeerFleet starts a gateway before one endpoint for each answer; every endpoint gives
// its own one.
func startPeerFleet(t *testing.T, answers ...standin.PeerAnswer) (*rawFleet, []*standin.Peer) {
	t.Helper()
	f := startRawFleet(t, 0, nil)
	var peers []*standin.Peer
	for i, a := range answers {
		p, err := standin.NewPeer(a)
		require.NoError(t, err)
		t.Cleanup(p.Close)
		peers = append(peers, p)
		f.endpoints = append(f.endpoints, fleet.NewEndpoint(fmt.Sprintf("e%d", i+1), "s", p.Address(), fleet.WithPlace("riga-a"), fleet.WithSlots(rawSlots)))
	}
	f.renew(nil)
	f.gateway.ApplyConfiguration(rawConfiguration(2, fleet.WithLimits(fleet.NewLimits(0, longUpload, time.Minute))), nil)
	return f, peers
}

// uploadLong sends a request with a long body and returns its answer.
func (f *rawFleet) uploadLong(p rawProtocol, path string) rawResult {
	c := dialFront(f.t, f.front)
	_, err := io.WriteString(c, fmt.Sprintf("POST %s %s\r\nHost: h\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n", path, p.version, rawID, rawRequestID, p.header, longUpload))
	require.NoError(f.t, err)
	_, err = c.Write(make([]byte, longUpload))
	require.NoError(f.t, err)
	return readResult(f.t, p, c)
}

// The caller of a long upload whose endpoint resets its answer without a length does not get
// the part that has come as a whole answer. Where the request may run again, another endpoint
// answers it; where not, the caller is not told that it has not run.
func TestResetDuringUploadIsNoWholeAnswer(t *testing.T) {
	events := eventsOf(1, 2)
	for _, test := range []struct {
		path, lines, body string
		repeatable        bool
	}{
		{rawPathPublish, "", "the first part", false},
		{rawPathRead, "", "the first part", true},
		{rawPathOnce, typeEvents, events, false},
		{rawPathStream, typeEvents, events, true},
	} {
		for _, p := range []rawProtocol{rawProtocols[0], rawProtocols[2]} {
			t.Run(test.path+", "+p.name, func(t *testing.T) {
				for range 10 {
					broken := standin.PeerAnswer{Text: head("200 OK", proven+test.lines) + test.body, Pause: 5 * time.Millisecond, End: standin.PeerResets}
					f, peers := startPeerFleet(t, broken, broken)
					r := f.uploadLong(p, test.path)
					sent := peers[0].Requests() + peers[1].Requests()
					if test.repeatable {
						require.Equal(t, 2, sent)
					} else {
						require.Equal(t, 1, sent)
					}
					// A stream has begun when it breaks off, and ends without its last chunk.
					if r.status == http.StatusOK {
						require.False(t, r.whole, "%q", r.body)
						require.NotEmpty(t, test.lines)
						continue
					}
					require.Equal(t, http.StatusBadGateway, r.status)
				}
			})
		}
	}
}

// A sound answer of a second endpoint replaces one that was reset.
func TestResetDuringUploadIsTriedAgain(t *testing.T) {
	const text = "the whole body"
	sound := standin.PeerAnswer{Text: head("200 OK", proven) + text, ReadFirst: -1, End: standin.PeerHalfCloses}
	broken := standin.PeerAnswer{Text: head("200 OK", proven) + "the first part", Pause: 5 * time.Millisecond, End: standin.PeerResets}
	for range 20 {
		f, _ := startPeerFleet(t, broken, sound)
		r := f.uploadLong(rawProtocols[0], rawPathRead)
		require.Equal(t, rawResult{status: http.StatusOK, header: r.header, body: text, whole: true}, r)
	}
}

// An answer without a length whose endpoint ends it in good order is passed on whole, also
// if the upload has not ended by then.
func TestOrderlyEndDuringUploadIsPassedOn(t *testing.T) {
	const text = "the whole body"
	for _, test := range []struct {
		name   string
		status int
		answer standin.PeerAnswer
	}{
		{"after the upload", 200, standin.PeerAnswer{Text: head("200 OK", proven) + text, ReadFirst: -1, End: standin.PeerHalfCloses}},
		{"before the upload", 200, standin.PeerAnswer{Text: head("200 OK", proven) + text, End: standin.PeerHalfCloses}},
		{"failure before the upload", 422, standin.PeerAnswer{Text: head("422 Unprocessable Entity", proven) + text, End: standin.PeerHalfCloses}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range 10 {
				f, peers := startPeerFleet(t, test.answer)
				r := f.uploadLong(rawProtocols[0], rawPathPublish)
				require.Equal(t, test.status, r.status)
				require.Equal(t, text, r.body)
				require.True(t, r.whole)
				require.Equal(t, 1, peers[0].Requests())
			}
		})
	}
}
