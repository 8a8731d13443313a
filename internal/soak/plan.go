package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is what a fault does.
type Kind int

// The kinds of faults.
const (
	KillProcess Kind = iota
	TerminateProcess
	PauseProcess
	HangUpProcess
	// StopInSeries ends several processes one after the other, or all at once.
	StopInSeries
	// FailStore lets the store fail for some machines or for all.
	FailStore
	SlowStore
	ForgetHistory
	// SpoilServer lets a server spoil part of its answers, SpoilOrigin the origin, and
	// SpoilChunk turns a staged chunk bad.
	SpoilServer
	SpoilOrigin
	SpoilChunk
	AddRoute
	RotateKey
	NameWeights
	// DisturbLink disturbs what passes one link.
	DisturbLink
	// CutMachine disturbs all links of a machine but those of its callers.
	CutMachine
	// RevokeDuringCut takes a key away while an entry is cut off in this way, for longer
	// than a revoked key may work.
	RevokeDuringCut
	// SignalBackpressure makes servers signal that they leave, or that they take no
	// requests for some time.
	SignalBackpressure
	// StateRateLimit makes servers state a rate limit for all entries together.
	StateRateLimit
	// MakePartDeadly makes a part of a prompt crash the engines that begin to answer it.
	MakePartDeadly
	// RestartWhileLeaving restarts all entries or all processes at once while servers leave
	// and others come back.
	RestartWhileLeaving
	// WaitForSlowEngines names a version and lets engines read prompts slowly when its bound
	// ends, WaitForSuspendedEngines suspends their machines then.
	WaitForSlowEngines
	WaitForSuspendedEngines
	// ChangeInSeries changes the configuration again and again and reloads entries.
	ChangeInSeries
	// EndStreamsAtTimeLeft names a version and lets streams end at their time left, which the
	// bound of the version shortens.
	EndStreamsAtTimeLeft
	// ReturnStore lets the store come back from an older copy of itself.
	ReturnStore
)

var kindNames = []string{
	"kill", "terminate", "pause", "hang up", "stop in series", "store fails", "store is slow", "store forgets its history",
	"server spoils answers", "origin spoils chunks", "staged chunk turns bad", "route is added", "key is rotated",
	"weights are named", "link is disturbed", "machine is cut off", "key is taken away during a cut", "servers signal backpressure", "servers state a rate limit", "part of a prompt is deadly", "all restart while servers leave",
	"engines are slow at the bound of a version", "engines are suspended at the bound of a version",
	"configuration changes in series", "streams end at their time left",
	"store comes back from an older copy",
}

func (k Kind) String() string { return kindNames[k] }

// kindWeights are the weights of the kinds in a plan, but for StateRateLimit,
// MakePartDeadly, RestartWhileLeaving, the kinds in which requests wait and those after them.
var kindWeights = []int{2, 2, 2, 1, 1, 4, 1, 2, 8, 1, 3, 2, 2, 2, 8, 2, 2, 4}

// Fault is one fault of a plan. Draws decide the rest, whatever the size of the
// deployment is.
type Fault struct {
	At, Length time.Duration
	Kind       Kind
	Draws      [4]uint64
}

// pick returns a number below n by one of the draws.
func (f Fault) pick(draw, n int) int { return int(f.Draws[draw] % uint64(max(n, 1))) }

// share returns a number below 1 by one of the draws.
func (f Fault) share(draw int) float64 { return float64(f.Draws[draw]>>11) / (1 << 53) }

func (f Fault) String() string {
	return fmt.Sprintf("%8s %8s  %s %x", f.At.Truncate(time.Millisecond), f.Length.Truncate(time.Millisecond), f.Kind, f.Draws[0]&0xffff)
}

// Times of a plan: the mean time between two faults, and the longest duration of most, so
// that they overlap.
const (
	meanGap      = 500 * time.Millisecond
	longestFault = 4 * time.Second
	// longCut is the length of a cut in which a key goes: longer than the key may work.
	longCut = revocation + 3*time.Second
)

// Plan returns the faults of a seed, which are the same each time.
func Plan(seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, w := range kindWeights {
		total += w
	}
	var plan []Fault
	for at := time.Duration(0); at < duration; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		f := Fault{At: at, Length: time.Duration(random.Float64() * float64(longestFault))}
		for n := random.IntN(total); n >= kindWeights[f.Kind]; f.Kind++ {
			n -= kindWeights[f.Kind]
		}
		if f.Kind == RevokeDuringCut {
			f.Length = longCut
		}
		for i := range f.Draws {
			f.Draws[i] = random.Uint64()
		}
		plan = append(plan, f)
	}
	plan = append(plan, limitPlan(seed, duration)...)
	plan = append(plan, deadlyPlan(seed, duration)...)
	plan = append(plan, restartPlan(seed, duration)...)
	plan = append(plan, waitPlan(seed, duration)...)
	plan = append(plan, changesPlan(seed, duration)...)
	plan = append(plan, returnPlan(seed, duration)...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// Minimize returns a plan with fewer faults that still fails: it leaves out ever smaller
// parts and keeps what is left where that fails. Fails plays a plan; it is called at most
// plays times.
func Minimize(plan []Fault, plays int, fails func(plan []Fault) bool) []Fault {
	for size := (len(plan) + 1) / 2; size > 0 && plays > 0; {
		reduced := false
		for from := 0; from < len(plan) && plays > 0; from += size {
			rest := append(append([]Fault{}, plan[:from]...), plan[min(from+size, len(plan)):]...)
			plays--
			if fails(rest) {
				plan, reduced = rest, true
				break
			}
		}
		if !reduced {
			size /= 2
		}
	}
	return plan
}

// Text returns a plan, a fault a line.
func Text(plan []Fault) string {
	var b strings.Builder
	for _, f := range plan {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}
