package endpoints

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// oddFields are lines of a head whose field names are none in HTTP.
var oddFields = []struct{ name, lines string }{
	{"blank within", "Bad Name: v\r\n"},
	{"blank before the colon", "Note : v\r\n"},
	{"blanks before the colon", "Note  : v\r\n"},
	{"length with a blank", "Content-Length : 2\r\n"},
	{"chunks with a blank", "Transfer-Encoding : chunked\r\n"},
	{"close with a blank", "Connection : close\r\n"},
	{"blank in front", "Note: a\r\n Bad: v\r\n"},
	{"blanks in front", "Note: a\r\n  Content-Length: 4\r\n"},
	{"tab in front", "Note: a\r\n\tBad: v\r\n"},
	{"tab and blank in front", "Note: a\r\n\t Bad: v\r\n"},
	{"second line that goes on", "Note: a\r\n b\r\n Bad: v\r\n"},
	{"blank in front of the first field", " Bad: v\r\n"},
	{"tab within", "Bad\tName: v\r\n"},
	{"tab before the colon", "Note\t: v\r\n"},
	{"control byte", "Bad\x01Name: v\r\n"},
	{"null byte", "Bad\x00Name: v\r\n"},
	{"escape", "\x1bBad: v\r\n"},
	{"DEL", "Bad\x7fName: v\r\n"},
	{"bare CR", "Bad\rName: v\r\n"},
	{"CR before the colon", "Note\r: v\r\n"},
	{"CR in front", "\rNote: v\r\n"},
	{"byte above ASCII", "Bad\xe9Name: v\r\n"},
	{"no-break space", "Bad\u00a0Name: v\r\n"},
	{"no name", ": v\r\n"},
	{"blank for a name", "Note: a\r\n : v\r\n"},
	{"no colon", "Note\r\n"},
	{"slash", "Bad/Name: v\r\n"},
	{"brackets", "Bad(Name): v\r\n"},
}

// An answer in whose head the name of a field holds a blank or a control byte was taken, with
// that field among its own ones or with a body that was framed by others.
func TestOddFieldNameIsNoAnswer(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	const own = "HTTP/1.1 200 OK\r\nId: mine\r\n"
	for _, test := range oddFields {
		for _, answer := range []struct{ name, text string }{
			{"last", own + "Content-Length: 2\r\n" + test.lines + "\r\nok"},
			{"first", "HTTP/1.1 200 OK\r\n" + test.lines + "Id: mine\r\n" + rest},
			{"no length", own + test.lines + "\r\nok"},
			{"chunks", own + test.lines + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
			{"interim answer", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + test.lines + "\r\n" + own + rest},
			{"another request's answer", "HTTP/1.1 200 OK\r\nId: other\r\n" + test.lines + "Content-Length: 3\r\n\r\nbad" + own + rest},
			{"failure", "HTTP/1.1 500 Internal Server Error\r\nId: mine\r\n" + test.lines + rest},
			{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: mine\r\n" + test.lines + rest},
			{"line feeds", strings.ReplaceAll(own+test.lines+rest, "\r\n", "\n")},
		} {
			t.Run(test.name+", "+answer.name, func(t *testing.T) {
				for _, kept := range []bool{false, true} {
					requireBroken(t, answer.text, false, kept)
				}
			})
		}
	}
}

// A name is checked also where its line comes in parts.
func TestOddFieldNameInParts(t *testing.T) {
	const text = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\nContent-Length : 2\r\n\r\nok"
	for at := 1; at < len(text); at++ {
		address := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			for _, part := range []string{text[:at], text[at:]} {
				_, _ = io.WriteString(c, part)
			}
		})
		_, _, err := exchange(t.Context(), NewPool(), address, nil)
		require.Error(t, err, "%q", text[:at])
	}
}

// The names of a trailer are checked as those of a head are.
func TestOddFieldNameInTrailer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n"
	for _, test := range []struct {
		name, text string
		fails      bool
	}{
		{"blank within", head + "\r\n2\r\nok\r\n0\r\nBad Name: v\r\n\r\n", true},
		{"blank before the colon", head + "\r\n2\r\nok\r\n0\r\nContent-Length : 2\r\n\r\n", true},
		{"after a sound one", head + "Trailer: Sum\r\n\r\n2\r\nok\r\n0\r\nSum: 12\r\nBad Name: v\r\n\r\n", true},
		{"control byte", head + "\r\n2\r\nok\r\n0\r\nBad\x01Name: v\r\n\r\n", true},
		{"sound", head + "Trailer: Sum\r\n\r\n2\r\nok\r\n0\r\nSum: 12\r\n\r\n", false},
		{"sound, not announced", head + "\r\n2\r\nok\r\n0\r\nSum: 12\r\n\r\n", false},
		{"announced, not sent", head + "Trailer: Sum\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := NewPool()
			address := serve(t, answers(test.text))
			body, _, err := exchange(t.Context(), p, address, nil)
			if test.fails {
				require.Error(t, err, "body %q", body)
				require.Zero(t, p.host(address).open)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			require.Equal(t, 1, p.host(address).open)
		})
	}
}

// Heads that HTTP allows are taken, whatever their fields are called and however they stand.
func TestSoundFieldNames(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	for _, test := range []struct{ name, lines, field, value string }{
		{"every character of a name", "!#$%&'*+-.^_`|~09azAZ: v\r\n", "!#$%&'*+-.^_`|~09azAZ", "v"},
		{"digits", "7: v\r\n", "7", "v"},
		{"no blank after the colon", "Note:v\r\n", "Note", "v"},
		{"blanks around the value", "Note: \t v \t\r\n", "Note", "v"},
		{"no value", "Note:\r\n", "Note", ""},
		{"colons in the value", "Note: a: b:c\r\n", "Note", "a: b:c"},
		{"tab in the value", "Note: a\tb\r\n", "Note", "a\tb"},
		{"value above ASCII", "Note: caf\xe9\r\n", "Note", "caf\xe9"},
		{"folded value", "Note: a\r\n b\r\n", "Note", "a b"},
		{"value folded with a tab", "Note: a\r\n\tb\r\n", "Note", "a b"},
		{"value folded twice", "Note: a,\r\n b,\r\n  c d\r\n", "Note", "a, b, c d"},
		{"folded value with a time", "Note: at\r\n noon, 12:30\r\n", "Note", "at noon, 12:30"},
		{"folded value with an address", "Link: <a>,\r\n <http://b/>\r\n", "Link", "<a>, <http://b/>"},
		{"in lower case", "note: v\r\n", "Note", "v"},
		{"line feed", "Note: v\n", "Note", "v"},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nId: mine\r\n" + test.lines + rest
			p := NewPool()
			address := serve(t, answers(text, text))
			for range 2 {
				x, err := p.Begin(t.Context(), address, 0)
				require.NoError(t, err)
				response, err := x.Send(t.Context(), Head{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, nil, mine)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				x.End()
				require.Equal(t, "ok", string(body))
				require.Equal(t, test.value, response.Header.Get(test.field))
			}
		})
	}
}

// What looks like a field with an odd name in a body is none.
func TestOddFieldNameInBody(t *testing.T) {
	const body = "Bad Name: v\r\n : \r\n\x01: v\r\n\r\n"
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 26\r\n\r\n" + body,
		"HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\n" + body + "\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 26\r\n\r\n" + body + "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 26\r\n\r\n" + body,
	} {
		require.Len(t, body, 26)
		got, _, err := exchange(t.Context(), NewPool(), serve(t, answers(text)), nil)
		require.NoError(t, err)
		require.Equal(t, body, got)
	}
}
