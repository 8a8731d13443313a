package suspects

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minIncidents is the number of incidents from which on a quarantine follows, where the
	// attempts that were further than the others are suspected. Endpoints crash for other
	// reasons too, and something frequent is beside one or two of these crashes by chance.
	minIncidents = 3
	// minWeakIncidents is that number where all attempts are suspected. It finds what
	// crashes an endpoint before the entry has the head of an answer.
	minWeakIncidents = 5
	// minConstantIncidents is that number where all attempts are suspected, of what was in
	// flight at every crash since its first.
	minConstantIncidents = 4
	// incidentGap separates incidents. Crashes at the same time have a common cause in
	// their surroundings, such as power, or in the entry that sees them: they count once.
	incidentGap = 200 * time.Millisecond
	// firstQuarantine is how long a quarantine lasts after the last crash of minIncidents
	// incidents. It doubles with each further incident, up to longestQuarantine.
	firstQuarantine   = 20 * time.Second
	longestQuarantine = 10 * time.Minute
	// doubtfulQuarantine is firstQuarantine for one whose crashes another one may explain.
	// Its trial shows which of them is right.
	doubtfulQuarantine = time.Second
)

// quarantine is what requests are refused for: all that the requests at its crashes had in
// common and that no request has been answered with since. It is immutable.
type quarantine struct {
	signature []Key // sorted
	incidents int
	lastCrash time.Duration
	until     time.Duration
	crashes   []int // indexes of its crashes, ascending
}

// verdict derives quarantines from crashes. Which requests share parts is known, and which
// of their parts is the cause is not. A part is suspected of the crashes since it was last
// found sound; a quarantine follows from enough of them, unless what is known explains
// these crashes better.
type verdict struct {
	crashes  []*crash // by time
	attempts func(c *crash) []Attempt
	sound    func(Key) time.Duration
	minimum  int // incidents
	byKey    map[Key][]int
	wholes   map[Key]bool
}

// judge returns the quarantines that follow from crashes, which are sorted by time. Sound
// returns the latest time at which an answer with a key began that did not end in a crash.
func judge(crashes []*crash, sound func(Key) time.Duration) []*quarantine {
	v := &verdict{crashes: crashes, attempts: (*crash).likely, sound: sound, minimum: minIncidents}
	likely := v.quarantines(nil)
	v = &verdict{crashes: crashes, attempts: (*crash).all, sound: sound, minimum: minConstantIncidents}
	constant := v.constant(likely)
	quarantines := append(withoutReplaced(likely, constant), constant...)
	var explained []int
	for _, q := range quarantines {
		explained = append(explained, q.crashes...)
	}
	v = &verdict{crashes: crashes, attempts: (*crash).all, sound: sound, minimum: minWeakIncidents}
	quarantines = append(quarantines, v.quarantines(explained)...)
	v.shortenDoubtful(quarantines)
	return quarantines
}

// quarantines returns the quarantines that follow from the crashes but the excluded ones.
func (v *verdict) quarantines(excluded []int) []*quarantine {
	v.byKey, v.wholes = make(map[Key][]int), make(map[Key]bool)
	for i, c := range v.crashes {
		if slices.Contains(excluded, i) {
			continue
		}
		for _, a := range v.attempts(c) {
			v.wholes[a.Request.whole] = true
			v.suspect(i, a.Request.whole)
			for _, k := range a.Request.parts {
				v.suspect(i, k)
			}
		}
	}
	parts := v.partsInQuarantine()
	return append(parts, v.wholesInQuarantine(parts)...)
}

// shortenDoubtful shortens the quarantines that are needless if others are right which stand
// for as many incidents and are not wider.
func (v *verdict) shortenDoubtful(quarantines []*quarantine) {
	for _, q := range quarantines {
		var shared []int
		for _, o := range quarantines {
			if o != q && o.incidents >= q.incidents && !narrower(q, o) {
				shared = append(shared, o.crashes...)
			}
		}
		if len(shared) > 0 && v.incidents(without(q.crashes, shared)) < minIncidents {
			q.until = min(q.until, q.lastCrash+quarantineTime(doubtfulQuarantine, q.incidents))
		}
	}
}

// suspect records that a key may have caused a crash.
func (v *verdict) suspect(i int, k Key) {
	list := v.byKey[k]
	if v.crashes[i].at <= v.sound(k) || len(list) > 0 && list[len(list)-1] == i {
		return
	}
	v.byKey[k] = append(list, i)
}

// partsInQuarantine returns the quarantines of parts of prompts.
func (v *verdict) partsInQuarantine() []*quarantine {
	var candidates []*quarantine
	for k, list := range v.byKey {
		if v.wholes[k] || v.incidents(list) < v.minimum || v.oneRequestExplains(k, list) {
			continue
		}
		candidates = append(candidates, v.newQuarantine(v.signature(k, list), list))
	}
	// The order must not depend on the map: all entries decide alike.
	slices.SortFunc(candidates, func(a, b *quarantine) int {
		return cmp.Or(slices.Compare(a.signature, b.signature), cmp.Compare(b.incidents, a.incidents), slices.Compare(a.crashes, b.crashes))
	})
	candidates = slices.CompactFunc(candidates, func(a, b *quarantine) bool { return slices.Equal(a.signature, b.signature) })
	candidates = v.unexplained(candidates, 1, narrower)
	return v.unexplained(candidates, v.minimum, func(better, other *quarantine) bool {
		return better.incidents > other.incidents && !narrower(other, better) && !narrower(better, other)
	})
}

// unexplained returns the candidates without those that have fewer than so many incidents
// left beside the crashes of all better ones.
func (v *verdict) unexplained(candidates []*quarantine, left int, better func(a, b *quarantine) bool) []*quarantine {
	return slices.DeleteFunc(slices.Clone(candidates), func(c *quarantine) bool {
		var explained []int
		for _, b := range candidates {
			if better(b, c) {
				explained = append(explained, b.crashes...)
			}
		}
		return len(explained) > 0 && v.incidents(without(c.crashes, explained)) < left
	})
}

// narrower reports whether a quarantine needs more in common than another one that has the
// same keys: it then refuses fewer sound requests.
func narrower(a, b *quarantine) bool {
	return len(a.signature) > len(b.signature) && containsAll(a.signature, b.signature)
}

// wholesInQuarantine returns the quarantines of single requests, but for those whose crashes a
// part in quarantine explains.
func (v *verdict) wholesInQuarantine(parts []*quarantine) []*quarantine {
	var explained []int
	for _, p := range parts {
		explained = append(explained, p.crashes...)
	}
	var quarantines []*quarantine
	for k := range v.wholes {
		list := v.byKey[k]
		if v.incidents(without(list, explained)) >= v.minimum {
			quarantines = append(quarantines, v.newQuarantine([]Key{k}, list))
		}
	}
	return quarantines
}

// oneRequestExplains reports whether a single request with the part was in flight at all of
// its crashes. Then that request may be the cause by what it alone has.
func (v *verdict) oneRequestExplains(k Key, list []int) bool {
	count := make(map[Key]int)
	for _, i := range list {
		seen := make(map[Key]bool)
		for _, a := range v.attempts(v.crashes[i]) {
			if r := a.Request; slices.Contains(r.parts, k) && !seen[r.whole] {
				seen[r.whole] = true
				count[r.whole]++
			}
		}
	}
	for _, n := range count {
		if n == len(list) {
			return true
		}
	}
	return false
}

// signature returns the part and those that all requests with it had at its crashes too,
// unless they have been found sound since the first: any of them may be the cause.
func (v *verdict) signature(k Key, list []int) []Key {
	first := v.crashes[list[0]].at
	var common []Key
	for _, i := range list {
		for _, a := range v.attempts(v.crashes[i]) {
			r := a.Request
			if !slices.Contains(r.parts, k) {
				continue
			}
			if common == nil {
				common = slices.Clone(r.parts)
			}
			common = slices.DeleteFunc(common, func(p Key) bool { return !slices.Contains(r.parts, p) || p != k && v.sound(p) > first })
		}
	}
	slices.Sort(common)
	return slices.Compact(common)
}

func (v *verdict) newQuarantine(signature []Key, list []int) *quarantine {
	n := v.incidents(list)
	last := v.crashes[list[len(list)-1]].at
	return &quarantine{signature: signature, incidents: n, lastCrash: last, until: last + quarantineTime(firstQuarantine, n), crashes: list}
}

// incidents returns the number of incidents among crashes.
func (v *verdict) incidents(list []int) int {
	n := 0
	var begun time.Duration
	for _, i := range list {
		if at := v.crashes[i].at; n == 0 || at-begun >= incidentGap {
			begun = at
			n++
		}
	}
	return n
}

// quarantineTime returns how long a quarantine lasts after the last of its incidents, if it
// is as long as first after minIncidents.
func quarantineTime(first time.Duration, incidents int) time.Duration {
	d := first
	for n := minIncidents; n < incidents && d < longestQuarantine; n++ {
		d *= 2
	}
	return min(d, longestQuarantine)
}

func without(list, excluded []int) []int {
	return slices.DeleteFunc(slices.Clone(list), func(i int) bool { return slices.Contains(excluded, i) })
}

func containsAll(list, keys []Key) bool {
	for _, k := range keys {
		if !slices.Contains(list, k) {
			return false
		}
	}
	return true
}
