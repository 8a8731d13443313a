// Package logbook reads what processes of a fleet wrote to their logs and tells what
// happened: to one request, or to all of them.
//
// The lines are the events of internal/telemetry as JSON, in files, folders or a stream,
// plain or compressed with gzip. What stands before the JSON of a line is ignored, and
// what is no such line is counted. Times of different machines are compared as they are:
// clocks that differ put lines in another order than that in which things happened.
//
// # Usage
//
//	s, err := logbook.Explain("7c8a36c5a255af", []string{"logs/"}, os.Stdin)
//	err = s.WriteText(os.Stdout)
//
//	u, err := logbook.Summarise([]string{"logs/"}, os.Stdin)
//	err = u.WriteText(os.Stdout)
package logbook
