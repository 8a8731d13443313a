package logbook

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Line is what is read of one line of a log. A field that the event does not have is
// zero.
type Line struct {
	At      time.Time `json:"time"`
	Level   string    `json:"level"`
	Event   string    `json:"msg"`
	Process string    `json:"process"`

	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Grantor  string `json:"grantor"`
	Outcome  string `json:"outcome"`
	Status   int    `json:"status"`
	Reason   string `json:"reason"`
	Cause    string `json:"cause"`
	Route    string `json:"route"`
	Account  string `json:"account"`
	Table    string `json:"table"`
	Peer     string `json:"peer"`
	Model    string `json:"model"`
	Error    string `json:"error"`
	Version  int64  `json:"version"`

	Executed bool `json:"executed"`
	Exact    bool `json:"exact"`
	Holding  bool `json:"holding"`
	Leaving  bool `json:"leaving"`
	Attempts int  `json:"attempts"`
	Events   int  `json:"events"`
	InFlight int  `json:"inFlight"`
	Unread   int  `json:"unread"`
	Lines    int  `json:"lines"`
	Missing  int  `json:"missing"`

	Took       time.Duration `json:"took"`
	Waited     time.Duration `json:"waited"`
	Spent      time.Duration `json:"spent"`
	RetryAfter time.Duration `json:"retryAfter"`
	First      time.Duration `json:"first"`
	Predicted  time.Duration `json:"predicted"`
	Age        time.Duration `json:"age"`
	Wait       time.Duration `json:"wait"`

	text string // the JSON as it stands
}

// Text returns the JSON of the line as it stands.
func (l Line) Text() string { return l.text }

// ErrNothing is returned where no line of a log was found at all.
var ErrNothing = eris.New("logbook: no line of a log found")

// maxLine bounds a line, in bytes. Longer ones are no lines of the log.
const maxLine = 1 << 20

// reading is what scan counts.
type reading struct {
	lines int // that are lines of the log
	other int // that are not
}

// scan hands the lines of all sources to visit, one source after the other. A source is
// a file, a folder with all that is in it, or "-" for standard input.
func scan(sources []string, stdin io.Reader, visit func(Line)) (reading, error) {
	var r reading
	for _, source := range sources {
		if source == "-" {
			if err := r.stream(stdin, visit); err != nil {
				return r, eris.Wrap(err, "standard input")
			}
			continue
		}
		err := filepath.WalkDir(source, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !entry.Type().IsRegular() {
				return err
			}
			return r.file(path, visit)
		})
		if err != nil {
			return r, eris.Wrap(err, source)
		}
	}
	if r.lines == 0 {
		return r, ErrNothing
	}
	return r, nil
}

func (r *reading) file(path string, visit func(Line)) error {
	f, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open a log")
	}
	defer f.Close()
	return eris.Wrap(r.stream(f, visit), path)
}

// stream reads lines, compressed ones where the first bytes say so. A compressed log
// that breaks off ends with its last whole line.
func (r *reading) stream(from io.Reader, visit func(Line)) error {
	buffered := bufio.NewReaderSize(from, 64<<10)
	magic, err := buffered.Peek(2)
	if err != nil && err != io.EOF {
		return err
	}
	if !bytes.Equal(magic, []byte{0x1f, 0x8b}) {
		return r.plain(buffered, visit)
	}
	unpacked, err := gzip.NewReader(buffered)
	if err != nil {
		return err
	}
	defer unpacked.Close()
	err = r.plain(bufio.NewReaderSize(unpacked, 64<<10), visit)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}

func (r *reading) plain(from *bufio.Reader, visit func(Line)) error {
	var line []byte
	long := false
	for {
		part, err := from.ReadSlice('\n')
		if len(line)+len(part) <= maxLine {
			line = append(line, part...)
		} else {
			long = true
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if len(line) > 0 {
			r.line(line, long, visit)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		line, long = line[:0], false
	}
}

func (r *reading) line(data []byte, long bool, visit func(Line)) {
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return
	}
	var l Line
	begin := bytes.IndexByte(data, '{')
	if long || begin < 0 || json.Unmarshal(data[begin:], &l) != nil || l.Event == "" || l.At.IsZero() {
		r.other++
		return
	}
	l.text = string(data[begin:])
	r.lines++
	visit(l)
}
