package spread

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	core "github.com/primrosetally/primrosetally/internal/coordination/spread"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/member"
)

// Framing is the bytes that a protocol adds to the body of a message.
type Framing struct {
	// Name is "http1" or "http2".
	Name string
	// Request and Response are the headers of one call, in bytes.
	Request  int
	Response int
	// Open is what the first call of a connection needs more, with the segments
	// that open and close the connection.
	Open int
}

// connectionSegments is the segments without data that open and close a
// connection.
const connectionSegments = 7

// FirstCallHTTP2 is the settings and uncompressed headers of the first call on an
// HTTP/2 connection, in bytes.
const FirstCallHTTP2 = 306

// The framings of a connect call, as a test counts them on a socket.
var (
	HTTP1 = Framing{Name: "http1", Request: 254, Response: 179, Open: connectionSegments * segmentOverhead}
	HTTP2 = Framing{Name: "http2", Request: 22, Response: 47, Open: connectionSegments*segmentOverhead + FirstCallHTTP2}
)

const (
	// segmentBytes is the payload of one TCP segment on Ethernet.
	segmentBytes = 1448
	// segmentOverhead is the IP and TCP headers of a segment, with timestamps.
	segmentOverhead = 52
	// segmentsPerAck is the number of segments that one acknowledgement without
	// data covers.
	segmentsPerAck = 2
	// originIncarnation is the incarnation that sizes are computed with.
	originIncarnation = 1_764_800_000
)

// onWire returns the bytes of a message of body bytes and its framing, with TCP,
// IP and acknowledgements.
func onWire(framing, body int) int {
	payload := framing + body
	segments := (payload + segmentBytes - 1) / segmentBytes
	acks := (segments + segmentsPerAck - 1) / segmentsPerAck
	return payload + (segments+acks)*segmentOverhead
}

// sizer computes the bodies of the messages as nodev1 encodes them.
type sizer struct {
	heads    map[uint64]int
	sections map[digest.Digest]int
}

func newSizer() *sizer {
	return &sizer{heads: make(map[uint64]int), sections: make(map[digest.Digest]int)}
}

func (s *sizer) push(from string, p core.Push) int {
	size := proto.Size(&nodev1.PushRequest{From: origin(from), Depth: p.Depth})
	size += field(s.head(p.Head))
	for _, section := range p.Sections {
		size += field(s.section(section))
	}
	return size
}

func (s *sizer) pushReply(revision uint64) int {
	return proto.Size(&nodev1.PushResponse{Revision: revision})
}

func (s *sizer) compare(from string, c core.Compare) int {
	m := &nodev1.CompareRequest{
		From:           origin(from),
		Revision:       c.Revision,
		Digest:         c.Digest.Bytes(),
		ConfirmedAgeMs: milliAge(c.ConfirmedAge),
	}
	for _, p := range c.Suspicions {
		m.Suspicions = append(m.Suspicions, &nodev1.Suspicion{Name: p.Name, Incarnation: p.Incarnation})
	}
	return proto.Size(m)
}

func (s *sizer) compareReply(r core.CompareReply) int {
	size := proto.Size(&nodev1.CompareResponse{
		Revision:       r.Revision,
		Digest:         r.Digest.Bytes(),
		ConfirmedAgeMs: milliAge(r.ConfirmedAge),
	})
	if r.Head != nil {
		size += field(s.head(*r.Head))
	}
	return size
}

func milliAge(age time.Duration) *uint64 {
	if age == core.Unconfirmed {
		return nil
	}
	ms := uint64(age / time.Millisecond)
	return &ms
}

func (s *sizer) fetch(f core.Fetch) int {
	return len(f.Digests) * (protowire.SizeTag(1) + protowire.SizeBytes(digest.Size))
}

func (s *sizer) fetchReply(sections []core.Section) int {
	size := 0
	for _, section := range sections {
		size += field(s.section(section))
	}
	return size
}

func (s *sizer) head(h core.Head) int {
	size, ok := s.heads[h.Revision()]
	if ok {
		return size
	}
	m := &nodev1.Head{Revision: h.Revision(), Digest: h.Digest().Bytes(), ChangeId: h.ChangeID()}
	for _, r := range h.Refs() {
		m.Sections = append(m.Sections, &nodev1.SectionRef{Name: r.Name(), Digest: r.Digest().Bytes()})
	}
	size = proto.Size(m)
	s.heads[h.Revision()] = size
	return size
}

func (s *sizer) section(section core.Section) int {
	size, ok := s.sections[section.Digest()]
	if !ok {
		size = proto.Size(&nodev1.Section{Digest: section.Digest().Bytes(), Text: section.Text()})
		s.sections[section.Digest()] = size
	}
	return size
}

func origin(name string) *nodev1.Origin {
	return &nodev1.Origin{Name: name, Incarnation: originIncarnation}
}

// field returns the size of an embedded message with its tag and length.
func field(size int) int { return protowire.SizeTag(1) + protowire.SizeBytes(size) }

// reportBytes returns the bytes on the wire of one agent's report to one entry.
func reportBytes(f Framing) int {
	d := digest.Of([]byte("weights"))
	report := &nodev1.EndpointReport{
		Name: "agent-100", Incarnation: originIncarnation, Service: "shabda-llm",
		State: nodev1.EndpointState_ENDPOINT_STATE_SERVING, Digest: d.Bytes(), WantedDigest: d.Bytes(),
		InFlight: 200, Limit: 256, Revision: 5000, ChunksStaged: 500, ChunksTotal: 500, Fencing: 300,
		BytesOrigin: 1 << 33, BytesPeers: 1 << 33, BytesSent: 1 << 33,
	}
	return onWire(f.Request, 0) + onWire(f.Response, proto.Size(report))
}

// listBytes returns the bytes on the wire of the platform's whole list, as it is
// or compressed.
func listBytes(members []member.Member, compressed bool) int {
	data, err := json.Marshal(members)
	if err != nil {
		panic("spread: members do not encode: " + err.Error())
	}
	if compressed {
		data = compress(data)
	}
	return onWire(HTTP1.Request, 0) + onWire(HTTP1.Response, len(data))
}

func compress(data []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		panic("spread: list does not compress: " + err.Error())
	}
	if err := w.Close(); err != nil {
		panic("spread: list does not compress: " + err.Error())
	}
	return b.Bytes()
}

// unchangedListBytes returns the bytes on the wire of a conditional read of the
// list that is answered with "not modified".
func unchangedListBytes() int { return onWire(HTTP1.Request, 0) + onWire(HTTP1.Response, 0) }
