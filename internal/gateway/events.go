package gateway

import (
	"bytes"
	"slices"
	"strconv"
)

// eventReader splits a stream into complete events.
type eventReader struct {
	rest []byte
}

// eventBatch holds complete events that arrived together.
type eventBatch struct {
	bytes      []byte
	count      int
	lastEvent  string
	lastNumber int64
	unnumbered bool // an event has no number
}

// feed appends data and returns the events that are now complete. Events with a
// number up to after are skipped, since the caller already has them. Those without a
// number are not.
func (r *eventReader) feed(data []byte, after int64) eventBatch {
	r.rest = append(r.rest, data...)
	batch := eventBatch{lastNumber: after}
	for {
		end := eventEnd(r.rest)
		if end < 0 {
			return batch
		}
		event := r.rest[:end]
		id, number := eventID(event)
		if number > batch.lastNumber || number == noNumber {
			batch.bytes = append(batch.bytes, event...)
			batch.count++
			batch.unnumbered = batch.unnumbered || number == noNumber && !isComment(event)
		}
		if number > batch.lastNumber {
			batch.lastEvent, batch.lastNumber = id, number
		}
		r.rest = slices.Delete(r.rest, 0, end)
	}
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
