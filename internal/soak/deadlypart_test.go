package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/primrosetally/primrosetally/platform/standin"
)

// Requests with a part that crashes engines, and sound ones beside them.
func TestCheckersOfDeadlyParts(t *testing.T) {
	now := time.Now()
	const settled = 2*deadlyGrace + 2*time.Second
	for _, test := range []struct {
		name        string
		early, late int // requests with the part that reach an engine
		sound       int // of ten sound requests, those that are served
		answered    bool
		revoked     int // sound requests with a key that was taken away, none of them served
		find        string
	}{
		{"refused soon", 5, 0, 10, false, 0, ""},
		{"as many as allowed", 5, deadlyMost, 10, false, 0, ""},
		{"they keep coming", 5, deadlyMost + 1, 10, false, 0, "deadly part"},
		{"half of the sound ones", 5, 0, 5, false, 0, ""},
		{"less than half of the sound ones", 5, 0, 4, false, 0, "deadly part"},
		{"half of the sound ones, beside revoked keys", 5, 0, 5, false, 30, ""},
		{"less than half of the sound ones, beside revoked keys", 5, 0, 4, false, 30, "deadly part"},
		{"an answer from an engine that must have crashed", 5, 0, 10, true, 0, "deadly part"},
		{"no such request", 0, 0, 0, false, 0, ""},
	} {
		l := newLedger()
		number := 0
		arrive := func(after time.Duration) {
			number++
			l.arrived(standin.Arrival{Attempt: fmt.Sprint("d", number), Server: "i", Started: 1, At: now.Add(after), Prompt: "f0:1,dead:1,1:1"})
		}
		for range test.early {
			arrive(0)
		}
		for range test.late {
			arrive(deadlyGrace + time.Second)
		}
		for n := range 10 {
			c := call{attempt: fmt.Sprint("s", n), path: standin.PathStream, parts: []string{"f0", "1"}, idempotent: true, sent: now.Add(settled), status: 503}
			if n < test.sound {
				c.status, c.whole = 200, true
			}
			l.answered(c)
		}
		l.keyRemoved("old")
		for n := range test.revoked {
			l.answered(call{attempt: fmt.Sprint("r", n), path: standin.PathStream, parts: []string{"f0", "1"}, key: "old", idempotent: true, sent: now.Add(settled), status: 401})
		}
		if test.answered {
			l.answered(call{attempt: "x", path: standin.PathStream, parts: []string{"f0", "dead", "1"}, idempotent: true, sent: now.Add(settled), status: 200, whole: true})
		}
		l.checkDeadlyPart("dead", now.Add(settled+time.Second))
		requireFinding(t, l, test.find, test.name)
	}
}
