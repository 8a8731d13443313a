package requests

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primrosetally/primrosetally/internal/coordination/limits"
)

// peakRate is about what the endpoints serve together without slowing down, in
// requests a second: a full batch each, at the time of a request whose prefix
// is cached for most.
const peakRate = endpointCount * batch / 0.28

// Goodput is what reaches callers in time under one offered load.
type Goodput struct {
	Load               float64 `json:"load"` // in multiples of the peak rate
	PerSecond          float64 `json:"perSecond"`
	OfPeak             float64 `json:"ofPeak"`
	Refused            int     `json:"refusedBeforeAnAttempt"`
	Failed             int     `json:"lateOrLost"`
	AttemptsPerRequest float64 `json:"attemptsPerAdmittedRequest"`
	P95Milliseconds    float64 `json:"p95Ms"`
}

// MeasureGoodput offers 0.8, 1, 2 and 5 times the peak rate.
func MeasureGoodput(options ...Option) []Goodput {
	s := newSettings(options)
	var rows []Goodput
	peak := 0.0
	for _, load := range []float64{0.8, 1, 2, 5} {
		row := measureGoodput(s, load)
		peak = max(peak, row.PerSecond)
		rows = append(rows, row)
	}
	for i := range rows {
		rows[i].OfPeak = rows[i].PerSecond / peak
	}
	return rows
}

func measureGoodput(s settings, load float64) Goodput {
	f := newFleet(s.seed)
	prefixes := newPrefixes(s.seed)
	whole := hdrhistogram.New(1, maxMicroseconds, histogramDigits)
	row := Goodput{Load: load}
	answered, admitted := 0, 0
	start := f.now.Add(warmUp)
	attempts := 0
	f.after(warmUp, func() { attempts = f.attempts })
	done := func(r *request, ok bool) {
		if r.arrived.Before(start) {
			return
		}
		if r.sequence != nil {
			admitted++
		}
		switch {
		case ok:
			answered++
			_ = whole.RecordValue(f.now.Sub(r.arrived).Microseconds())
		case r.sequence == nil:
			row.Refused++
		default:
			row.Failed++
		}
	}
	end := start.Add(s.length)
	account := 0
	f.arrivals(warmLoad*peakRate, load*peakRate, start, end, func() *request {
		account++
		return &request{account: fmt.Sprint("shop-", account%accountCount), prefix: prefixes.next(), done: done}
	})
	f.runUntil(end.Add(requestTimeout))
	row.PerSecond = float64(answered) / s.length.Seconds()
	row.AttemptsPerRequest = float64(f.attempts-attempts) / float64(max(admitted, 1))
	row.P95Milliseconds = milliseconds(whole.ValueAtQuantile(95))
	return row
}

// Fairness is what a large account's overload does to the small ones.
type Fairness struct {
	Load                 float64 `json:"loadOfShare"`
	SmallP95Milliseconds float64 `json:"smallP95Ms"`
	Raise                float64 `json:"raise"`
	SmallAnswered        float64 `json:"smallAnsweredShare"`
	LargePerSecond       float64 `json:"largePerSecond"`
}

// Shares of the accounts: three large ones and seven small ones use four fifths
// of the peak rate together.
const (
	largeAccounts = 3
	largeShare    = 0.2
	smallShare    = 0.2 / (accountCount - largeAccounts)
	fairnessLoad  = 0.8 * peakRate
)

// MeasureFairness has one large account send its share, and ten times that.
func MeasureFairness(options ...Option) []Fairness {
	s := newSettings(options)
	var rows []Fairness
	for _, load := range []float64{1, 10} {
		row := measureFairness(s, load)
		if len(rows) > 0 {
			row.Raise = row.SmallP95Milliseconds/rows[0].SmallP95Milliseconds - 1
		}
		rows = append(rows, row)
	}
	return rows
}

func measureFairness(s settings, load float64) Fairness {
	f := newFleet(s.seed)
	prefixes := newPrefixes(s.seed)
	small := hdrhistogram.New(1, maxMicroseconds, histogramDigits)
	row := Fairness{Load: load}
	var sent, answered, large int
	start := f.now.Add(warmUp)
	end := start.Add(s.length)
	for i := range accountCount {
		name := fmt.Sprint("shop-", i)
		isLarge, rate, weight := i < largeAccounts, smallShare, smallShare
		if isLarge {
			rate, weight = largeShare, largeShare
		}
		warmRate := rate
		if i == 0 {
			rate *= load
		}
		for _, en := range f.entries {
			en.gate.SetAccountLimits(name, limits.NewAccountLimits(weight))
		}
		done := func(r *request, ok bool) {
			switch {
			case r.arrived.Before(start):
			case !isLarge && ok:
				answered++
				_ = small.RecordValue(f.now.Sub(r.arrived).Microseconds())
			case i == 0 && ok:
				large++
			}
		}
		f.arrivals(warmRate*fairnessLoad, rate*fairnessLoad, start, end, func() *request {
			if !isLarge && !f.now.Before(start) {
				sent++
			}
			return &request{account: name, prefix: prefixes.next(), done: done}
		})
	}
	f.runUntil(end.Add(requestTimeout))
	row.SmallP95Milliseconds = milliseconds(small.ValueAtQuantile(95))
	row.SmallAnswered = float64(answered) / float64(sent)
	row.LargePerSecond = float64(large) / s.length.Seconds()
	return row
}
