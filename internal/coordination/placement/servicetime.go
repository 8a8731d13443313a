package placement

import "time"

// Figures of the service time, the time from placement to the end of a request.
const (
	// defaultServiceTime is assumed until the first request has succeeded.
	defaultServiceTime = time.Second
	// serviceTimeSamples is the number of requests over which the moving averages extend.
	serviceTimeSamples = 32
)

// serviceTime holds the moving averages of the service time and of its absolute deviation.
type serviceTime struct {
	mean, deviation time.Duration
	samples         int
}

// record adds the service time of a request that has succeeded.
func (s *serviceTime) record(d time.Duration) {
	if s.mean == 0 {
		s.mean, s.deviation = d, d/2
	}
	s.samples++
	difference := d - s.mean
	s.mean += difference / serviceTimeSamples
	s.deviation += (difference.Abs() - s.deviation) / serviceTimeSamples
}

// average returns the mean service time.
func (s *serviceTime) average() time.Duration {
	if s.mean == 0 {
		return defaultServiceTime
	}
	return s.mean
}

// atMost returns the mean service time and the given number of deviations.
func (s *serviceTime) atMost(deviations int) time.Duration {
	if s.mean == 0 {
		return defaultServiceTime + time.Duration(deviations)*defaultServiceTime/2
	}
	return s.mean + time.Duration(deviations)*s.deviation
}

// KnownServiceTime returns the mean service time, and whether it is that of enough requests for
// a decision which a few quick ones must not turn.
func (p *Pool) KnownServiceTime() (mean time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceTime.mean, p.serviceTime.samples >= serviceTimeSamples
}

// ServiceTime returns the mean time from placement to the end of a request and the given
// number of mean absolute deviations: a time that few requests exceed.
func (p *Pool) ServiceTime(deviations int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceTime.atMost(deviations)
}
