package spread

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Table measures with DefaultOptions and writes the tables of docs/SPREAD.md as
// text, or as JSON.
func Table(w io.Writer, asJSON bool) error {
	return Write(w, Run(DefaultOptions()), asJSON)
}

// Write writes a result as text, or as JSON.
func Write(w io.Writer, r Result, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	writers := []func(io.Writer, Result){writeTimes, writeSteady, writeBudget, writeBaselines}
	for _, write := range writers {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		write(t, r)
		if err := t.Flush(); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
	}
	return nil
}

func writeTimes(w io.Writer, r Result) {
	fmt.Fprintln(w, "Time until in force everywhere (ms)")
	fmt.Fprintln(w, "processes\tloss\truns\tmedian\tp99\tworst\tburst median\tburst worst\tunfinished\t")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%d\t%g%%\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t\n", row.Processes(), row.Loss*100, row.Seeds,
			row.InForce.MedianMS, row.InForce.P99MS, row.InForce.WorstMS,
			row.Burst.MedianMS, row.Burst.WorstMS, row.InForce.Unfinished+row.Burst.Unfinished)
	}
}

func writeSteady(w io.Writer, r Result) {
	fmt.Fprintf(w, "Spread alone at %d changes a day over %s (bytes a second, sent and received)\n", changesPerDay, r.Framing)
	fmt.Fprintln(w, "processes\tloss\tnode\tbusiest\tcompares\tpushes\tfetches\tplatform\tbetween regions\treads/s\twrites/s\tobjects/s\t")
	for _, row := range r.Rows {
		s := row.Steady
		fmt.Fprintf(w, "%d\t%g%%\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t\n", row.Processes(), row.Loss*100,
			s.BytesPerNode, s.BytesBusiestNode, s.BytesCompares, s.BytesPushes, s.BytesFetches, s.BytesPlatform,
			s.BytesBetweenRegion, s.TableReads, s.TableWrites, s.ObjectReads)
	}
}

func writeBudget(w io.Writer, r Result) {
	fmt.Fprintln(w, "All control traffic at the largest size, 1% loss (bytes a second, sent and received)")
	fmt.Fprintln(w, "kind\tentry http1\tagent http1\tentry http2\tagent http2\t")
	for _, row := range r.Budget {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t\n", row.Kind, row.Entry, row.Agent, row.EntryHTTP2, row.AgentHTTP2)
	}
}

func writeBaselines(w io.Writer, r Result) {
	fmt.Fprintln(w, "Baselines")
	fmt.Fprintln(w, "way\tprocesses\tloss\tmedian ms\tworst ms\tunfinished\tnode B/s\tbusiest B/s\treads/s\tlink s/change\t")
	for _, row := range r.Baselines {
		fmt.Fprintf(w, "%s\t%d\t%g%%\t%.0f\t%.0f\t%d\t%.0f\t%.0f\t%.1f\t%.1f\t\n", row.Name, row.Processes(), row.Loss*100,
			row.InForce.MedianMS, row.InForce.WorstMS, row.InForce.Unfinished,
			row.BytesPerNode, row.BytesBusiestNode, row.TableReads, row.LinkSeconds)
	}
}
