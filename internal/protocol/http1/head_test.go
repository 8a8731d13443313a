package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// heads are heads with what follows them, and what the scanner says of them.
var heads = []struct {
	name, text, after string
	lines             int
	interim, fails    bool
}{
	{"fields", "HTTP/1.1 200 OK\r\nA: b\r\nC:d\r\n\r\n", "body", 4, false, false},
	{"no fields", "HTTP/1.1 200 OK\r\n\r\n", "\r\n", 2, false, false},
	{"line feeds", "HTTP/1.1 200 OK\nA: b\n\n", ": x", 3, false, false},
	{"no value", "HTTP/1.1 200 OK\r\nA:\r\n\r\n", "", 3, false, false},
	{"folded value", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\td\r\n\r\n", "", 5, false, false},
	{"folded value that is no name", "HTTP/1.1 200 OK\r\nA: b\r\n <c:d>\r\n c d: e\r\n\r\n", "", 5, false, false},
	{"line of blanks", "HTTP/1.1 200 OK\r\nA: b\r\n  \r\n\r\n", "", 4, false, false},
	{"status without a reason", "HTTP/1.1 204\r\n\r\n", "", 2, false, false},
	{"interim", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", 2, true, false},
	{"interim without a reason", "HTTP/1.1 199\r\n\r\n", "", 2, true, false},
	{"interim after blanks", "HTTP/1.1   103 Early Hints\r\nA: b\r\n\r\n", "", 3, true, false},
	{"change of the protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "", 2, false, false},
	{"status of two digits", "HTTP/1.1 10 OK\r\n\r\n", "", 2, false, false},
	{"status of four digits", "HTTP/1.1 1000 OK\r\n\r\n", "", 2, true, false}, // no answer for a parser
	{"blank within a name", "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", "", 0, false, true},
	{"blank before the colon", "HTTP/1.1 200 OK\r\nA : c\r\n\r\n", "", 0, false, true},
	{"blank in front", "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", "", 0, false, true},
	{"blank for a name", "HTTP/1.1 200 OK\r\nA: b\r\n : d\r\n\r\n", "", 0, false, true},
	{"no name", "HTTP/1.1 200 OK\r\n: d\r\n\r\n", "", 0, false, true},
	{"no colon", "HTTP/1.1 200 OK\r\nA\r\n\r\n", "", 0, false, true},
	{"control byte", "HTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n", "", 0, false, true},
	{"bare CR", "HTTP/1.1 200 OK\r\n\rA: b\r\n\r\n", "", 0, false, true},
	{"above ASCII", "HTTP/1.1 200 OK\r\n\xff: b\r\n\r\n", "", 0, false, true},
}

// scan scans a text in parts that end at the given place and at the end.
func scan(text string, at int) (s HeadScanner, n int, err error) {
	for _, part := range []string{text[:at], text[at:]} {
		var taken int
		taken, err = s.Scan([]byte(part))
		n += taken
		if err != nil {
			break
		}
	}
	return s, n, err
}

// A head is judged alike wherever it is divided.
func TestHeadScanner(t *testing.T) {
	for _, test := range heads {
		t.Run(test.name, func(t *testing.T) {
			text := test.text + test.after
			for at := range len(text) + 1 {
				s, n, err := scan(text, at)
				if test.fails {
					require.ErrorIs(t, err, ErrFieldName)
					continue
				}
				require.NoError(t, err)
				require.True(t, s.Ended())
				require.Equal(t, len(test.text), n)
				require.Equal(t, test.lines, s.Lines())
				require.Equal(t, test.interim, s.Interim())
			}
			s, _, _ := scan(test.text[:len(test.text)-1], 0)
			require.False(t, s.Ended(), "without its last byte")
			require.False(t, s.Interim())
		})
	}
}

// What the scanner takes and net/http parses ends at the same byte, and has sound names.
func FuzzHeadScanner(f *testing.F) {
	for _, test := range heads {
		f.Add([]byte(test.text + test.after))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		whole, n, err := scan(string(text), 0)
		for at := range min(len(text), 64) {
			part, m, other := scan(string(text), at)
			require.Equal(t, err, other)
			require.Equal(t, n, m)
			require.Equal(t, whole, part)
		}
		// The reader is as large as the text: what is left in it has not been parsed.
		r := bufio.NewReaderSize(bytes.NewReader(text), len(text)+16)
		response, failed := http.ReadResponse(r, nil)
		if err != nil || failed != nil {
			return
		}
		require.True(t, whole.Ended())
		require.Len(t, text, n+r.Buffered())
		require.True(t, ValidNames(response.Header))
		require.Equal(t, response.StatusCode >= 100 && response.StatusCode < 200 && response.StatusCode != 101, whole.Interim())
	})
}

func TestValidNames(t *testing.T) {
	for _, test := range []struct {
		name  string
		value []string
		valid bool
	}{
		{"Note", []string{"v"}, true},
		{"!#$%&'*+-.^_`|~09azAZ", []string{""}, true},
		{"Bad Name", []string{"v"}, false},
		{"Content-Length ", []string{"2"}, false},
		{"", []string{"v"}, false},
		{"Bad\x01", []string{"v"}, false},
		{"Bad Name", nil, true}, // announced, not sent
	} {
		require.Equal(t, test.valid, ValidNames(http.Header{"Other": {"v"}, test.name: test.value}), "%q", test.name)
	}
	require.True(t, ValidNames(nil))
}

// The names of a trailer are checked once the body has ended.
func TestCheckTrailer(t *testing.T) {
	for _, test := range []struct {
		trailer string
		want    error
	}{
		{"Sum: 12\r\n", nil},
		{"Bad Name: 12\r\n", ErrFieldName},
		{"", nil},
	} {
		text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + test.trailer + "\r\n"
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		require.NoError(t, err)
		body := CheckTrailer(response)
		data, err := io.ReadAll(body)
		require.Equal(t, "ok", string(data))
		require.ErrorIs(t, err, test.want)
		require.NoError(t, body.Close())
	}
}
