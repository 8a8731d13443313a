package http1

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrFieldName is the error of a head or trailer with a field whose name HTTP does not allow: it is
// empty, or holds a blank, a control byte or another character that no name has. Two readers of
// such a field differ in what it says, and if it frames the body, in where that ends.
var ErrFieldName = eris.New("name of a field is malformed")

// HeadScanner checks the names of the fields of an answer's head in the bytes that were sent. A
// parser may hide a malformed name: that of net/http takes blanks within one, and appends a line
// that begins with a blank to the value before it.
//
// HTTP allows such a line only as a part of a value, and lets a gateway reject it. One that reads as
// a field of its own, a name and a colon after the blank, counts as a malformed name.
//
// The zero value is ready to use.
type HeadScanner struct {
	state  headState
	lines  int
	status int // first digits of the status, as a number
	digits int // how many of these were read
}

// headState is where in a head the next byte stands.
type headState int

const (
	inProtocol headState = iota // of the status line
	inStatus
	inReason
	atLineStart
	atLineEnd // after a CR at the start of a line
	inName
	inValue
	inFoldBlank // at the start of a line that goes on with a value
	inFoldToken // in its first characters, which could be a name
	atEnd
)

// statusDigits is the number of digits of a status.
const statusDigits = 3

// Lines returns the number of lines that were read.
func (s *HeadScanner) Lines() int { return s.lines }

// Ended reports whether the head has ended.
func (s *HeadScanner) Ended() bool { return s.state == atEnd }

// Interim reports whether the head has ended and another one follows it.
func (s *HeadScanner) Interim() bool {
	return s.Ended() && s.digits == statusDigits && s.status >= http.StatusContinue && s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols
}

// Scan reads on, up to the end of the head, and returns how many bytes of the data that took. The
// error is ErrFieldName.
func (s *HeadScanner) Scan(data []byte) (int, error) {
	for i, c := range data {
		if s.Ended() {
			return i, nil
		}
		if !s.next(c) {
			return i, ErrFieldName
		}
	}
	return len(data), nil
}

// next reads a byte and returns false if it makes the name of a field malformed.
func (s *HeadScanner) next(c byte) bool {
	if c == '\n' {
		return s.endLine()
	}
	switch s.state {
	case inProtocol, inStatus, inReason:
		s.nextOfStatusLine(c)
	case atLineStart:
		return s.startLine(c)
	case atLineEnd:
		return false
	case inName:
		return s.nextOfName(c)
	case inFoldBlank, inFoldToken:
		return s.nextOfFold(c)
	}
	return true
}

// endLine ends a line, and the head if the line is empty.
func (s *HeadScanner) endLine() bool {
	if s.state == inName {
		return false // no colon
	}
	empty := s.state == atLineStart || s.state == atLineEnd
	s.lines++
	s.state = atLineStart
	if empty {
		s.state = atEnd
	}
	return true
}

// nextOfStatusLine reads a byte of the status line.
func (s *HeadScanner) nextOfStatusLine(c byte) {
	isDigit := c >= '0' && c <= '9'
	switch {
	case s.state == inProtocol && c == ' ':
		s.state = inStatus
	case s.state != inStatus:
		return
	case c == ' ' && s.digits == 0:
		return // more than one blank before the status
	case isDigit && s.digits < statusDigits:
		s.status = 10*s.status + int(c-'0')
		s.digits++
	default:
		s.state = inReason
	}
}

// startLine reads the first byte of a line after the status line.
func (s *HeadScanner) startLine(c byte) bool {
	switch c {
	case '\r':
		s.state = atLineEnd
	case ' ', '\t':
		s.state = inFoldBlank
	default:
		s.state = inName
		return isTokenByte(c)
	}
	return true
}

// nextOfName reads a byte of a name, or the colon after it.
func (s *HeadScanner) nextOfName(c byte) bool {
	if c == ':' {
		s.state = inValue
		return true
	}
	return isTokenByte(c)
}

// nextOfFold reads a byte of a line that goes on with a value, as long as it could be the name of a
// field: a colon shows that it is.
func (s *HeadScanner) nextOfFold(c byte) bool {
	isBlank := c == ' ' || c == '\t'
	switch {
	case c == ':':
		return false
	case isTokenByte(c):
		s.state = inFoldToken
	case s.state == inFoldToken || !isBlank:
		s.state = inValue
	}
	return true
}

// isTokenByte reports whether a name may have a character.
func isTokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// ValidNames reports whether all names of a parsed head or trailer are well formed. Fields without
// a value, such as those that a head announces for the trailer, don't count.
func ValidNames(h http.Header) bool {
	for name, values := range h {
		if len(values) > 0 && !isToken(name) {
			return false
		}
	}
	return true
}

func isToken(name string) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return name != ""
}

// CheckTrailer returns the body of a response whose reads end with ErrFieldName instead of io.EOF
// if the trailer has a malformed name.
func CheckTrailer(r *http.Response) io.ReadCloser {
	return &trailerChecker{ReadCloser: r.Body, response: r}
}

// trailerChecker checks the trailer of a response at the end of its body.
type trailerChecker struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (t *trailerChecker) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err == io.EOF && !ValidNames(t.response.Trailer) {
		return n, ErrFieldName
	}
	return n, err
}
