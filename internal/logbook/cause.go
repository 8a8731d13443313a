package logbook

import (
	"fmt"
	"strings"
	"time"

	"github.com/primrosetally/primrosetally/internal/telemetry"
)

// causeOf returns a sentence on why a request ended as it did, from its lines and what
// the process knew.
func causeOf(s *Story) string {
	end := s.last()
	if !is(end, telemetry.FleetRequestEnded) {
		return unended(s)
	}
	switch end.Outcome {
	case "answered":
		return fmt.Sprintf("answered whole by %s after %s, at attempt %d", end.Endpoint, round(end.Took), end.Attempts)
	case "failureOfEndpoint":
		return fmt.Sprintf("endpoint %s itself answered %d, which was passed on", end.Endpoint, end.Status)
	case "rejected":
		return fmt.Sprintf("not allowed: %s (status %d); it did not run", end.Reason, end.Status)
	case "notRun":
		return "did not run: " + refusalOf(s, end) + returnOf(end)
	case "unknown":
		return fmt.Sprintf("it may have run: %s%s", end.Reason, attemptsOf(s))
	case "brokenOff":
		return fmt.Sprintf("broke off after %d events: %s%s", end.Events, end.Reason, attemptsOf(s))
	case "callerLeft":
		return fmt.Sprintf("%s after %s, before the answer was whole%s", leaveOf(end), round(end.Took), attemptsOf(s))
	}
	return fmt.Sprintf("ended with the outcome %q: %s", end.Outcome, end.Reason)
}

// leaveOf returns how a caller left.
func leaveOf(end Line) string {
	switch end.Cause {
	case "callerClosed":
		return "the caller closed its connection, or its sending side,"
	case "writeFailed":
		return "the answer could not be written: the caller's connection ended"
	case "writeTimeout":
		return "the caller did not read the answer and was cut off"
	}
	return "the caller went away"
}

// unended tells of a request without a final answer in the logs.
func unended(s *Story) string {
	if len(s.dropped) > 0 {
		return "no final answer is logged, and lines are missing"
	}
	for _, l := range s.near {
		if is(l, telemetry.ProcessStarted) && l.Process == s.last().Process && l.At.After(s.last().At) {
			return fmt.Sprintf("no final answer: %s ended with the request in progress and started again at %s", l.Process, l.At.UTC().Format(clock))
		}
	}
	return "no final answer is logged: the process ended with the request in progress, or its later logs are not among these"
}

// refusalOf explains why nothing ran.
func refusalOf(s *Story, end Line) string {
	switch end.Reason {
	case "no room came in time":
		return fmt.Sprintf("it waited %s for an endpoint with room (load)", round(end.Waited))
	case "no room is expected in time":
		return "on arrival no endpoint was expected to have room in time (load)"
	case "no endpoint can take it":
		return "the entry knew no endpoint that might begin it" + weightsOf(s)
	case "endpoints take none before it is of no use":
		return "all endpoints of the service had asked for a pause longer than the caller's time" + asksOf(s)
	case "rate limits of the endpoints leave no room in time":
		return "all endpoints of the service have a rate limit, and no permit was expected in its time" + grantorOf(s)
	case "configuration is not confirmed":
		return fmt.Sprintf("the last confirmation of the configuration was %s old, too old for a key%s", round(end.Age), storeOf(s))
	case "no configuration is known yet":
		return "the entry had just started and knew no configuration" + storeOf(s)
	case "the route has no service":
		return "the configuration names no service for its route"
	case "endpoints crashed under it":
		return "several endpoints crashed while they worked on it, so that no other is risked" + attemptsOf(s)
	case "the entry stops":
		return "a planned stop of the entry left it too little time" + attemptsOf(s)
	case "time is over":
		return fmt.Sprintf("its time was over after %s%s", round(end.Took), attemptsOf(s))
	}
	return end.Reason + attemptsOf(s)
}

// weightsOf tells which version of the weights was named last before the end.
func weightsOf(s *Story) string {
	for _, b := range s.beliefs {
		if is(b.Line, telemetry.WeightsNamed) {
			return fmt.Sprintf("; version %d of %s was named %s before", b.Line.Version, b.Line.Model, round(b.Age+b.Line.Age))
		}
	}
	return ""
}

// asksOf tells what endpoints asked for last.
func asksOf(s *Story) string {
	for i := len(s.near) - 1; i >= 0; i-- {
		if l := s.near[i]; is(l, telemetry.EndpointAsks) {
			return fmt.Sprintf("; %s asked for %s at %s", l.Endpoint, round(l.Wait), l.At.UTC().Format(clock))
		}
	}
	return ""
}

// grantorOf names the entry that granted permits last.
func grantorOf(s *Story) string {
	for i := len(s.near) - 1; i >= 0; i-- {
		switch l := s.near[i]; {
		case !is(l, telemetry.QuotaGrantor):
		case l.Grantor == "":
			return "; no entry granted permits"
		default:
			return "; " + l.Grantor + " granted the permits"
		}
	}
	return ""
}

// storeOf tells since when the process had no answer of the store.
func storeOf(s *Story) string {
	for _, b := range s.beliefs {
		if is(b.Line, telemetry.StoreLost) {
			return fmt.Sprintf("; the store did not answer for %s (%s)", round(b.Age), b.Line.Error)
		}
	}
	return ""
}

// attemptsOf tells what the attempts met, in their order.
func attemptsOf(s *Story) string {
	var met []string
	for _, l := range s.lines {
		if is(l, telemetry.FleetAttemptFailed) {
			ran := "did not run there"
			if l.Executed {
				ran = "may have run there"
			}
			met = append(met, fmt.Sprintf("%s: %s (%s)", l.Endpoint, l.Reason, ran))
		}
	}
	if len(met) == 0 {
		return ""
	}
	return "; attempts: " + strings.Join(met, ", ")
}

// returnOf tells when the caller was asked to come back, and what it had spent before.
func returnOf(end Line) string {
	text := ""
	if end.RetryAfter > 0 {
		text = fmt.Sprintf("; it was asked to come back after %s", round(end.RetryAfter))
	}
	if end.Spent > 0 {
		text += fmt.Sprintf("; it had been refused before, %s in all", round(end.Spent))
	}
	return text
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
