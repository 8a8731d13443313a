package gateway

import (
	"bytes"
	"regexp"
	"slices"
	"strconv"
)

// eventReader splits the response of an endpoint into complete events.
type eventReader struct {
	rest []byte
	// resumed is set if the caller has events of another response. What has no number may
	// then be anything: an event that the caller has, or an error.
	resumed bool
	// progressed is set once there was an event that the caller did not have.
	progressed bool
}

// eventBatch holds complete events that arrived together.
type eventBatch struct {
	bytes      []byte
	count      int
	comments   int // of the count
	lastEvent  string
	lastNumber int64
	unnumbered bool // an event has no number
	// err is set if what follows the events is not of the caller's stream.
	err error
}

// feed appends data and returns the events that are now complete. Events with a
// number up to after are skipped, since the caller already has them. Those without a
// number are not.
func (r *eventReader) feed(data []byte, after int64) eventBatch {
	r.rest = append(r.rest, data...)
	batch := eventBatch{lastNumber: after}
	for batch.err == nil {
		end := eventEnd(r.rest)
		if end < 0 {
			return batch
		}
		r.take(&batch, r.rest[:end])
		r.rest = slices.Delete(r.rest, 0, end)
	}
	return batch
}

// take adds an event to a batch, or skips it if the caller has it.
func (r *eventReader) take(b *eventBatch, event []byte) {
	id, number := eventID(event)
	switch {
	case hasResponseHead(event):
		b.err = errNotEvent
	case isComment(event):
		b.add(event)
		b.comments++
	case number == noNumber && r.resumed:
		b.err = errNotEvent
	case number == noNumber:
		b.add(event)
		b.unnumbered = true
	case number > b.lastNumber:
		b.add(event)
		b.lastEvent, b.lastNumber = id, number
		r.progressed = true
	case number < b.lastNumber && r.progressed:
		b.err = errEventOrder
	}
}

// begins reports whether the batch shows that the endpoint has begun the request. A comment
// does not: endpoints send them to keep connections open.
func (b *eventBatch) begins() bool { return b.count > b.comments }

func (b *eventBatch) add(event []byte) {
	b.bytes = append(b.bytes, event...)
	b.count++
}

// responseHead is a status line with a header field after it. Field names of events are in
// lower case.
var responseHead = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}[^\r\n]*\r?\n[A-Z][0-9A-Za-z-]*:`)

// hasResponseHead reports whether an endpoint sent the head of another response in place
// of an event or within one.
func hasResponseHead(event []byte) bool {
	return bytes.HasPrefix(event, []byte("HTTP/")) || bytes.Contains(event, []byte("HTTP/1.")) && responseHead.Match(event)
}

// isComment reports whether what ends with a blank line is no event: endpoints send
// comments to keep connections open.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if len(bytes.TrimSpace(line)) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// maxEventBytes is the size limit of an event in bytes.
const maxEventBytes = 64 << 10

// tooLong reports whether the incomplete event exceeds maxEventBytes.
func (r *eventReader) tooLong() bool { return len(r.rest) > maxEventBytes }

// partial reports whether there is an incomplete event.
func (r *eventReader) partial() bool { return len(bytes.TrimSpace(r.rest)) > 0 }

// eventEnd returns the length of the first event including the blank line that ends
// it, -1 if the event is incomplete.
func eventEnd(data []byte) int {
	end := -1
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(data, []byte(blank)); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

// noNumber is the number of an event whose id is missing or not a number. It is less than
// any number.
const noNumber = -1

// eventID returns the id of an event and the number in it, or noNumber.
func eventID(event []byte) (string, int64) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id := string(bytes.TrimSpace(value))
		return id, parseEventNumber(id)
	}
	return "", noNumber
}

// parseEventNumber returns the number in an event's id, or noNumber.
func parseEventNumber(id string) int64 {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || n < 0 {
		return noNumber
	}
	return n
}
