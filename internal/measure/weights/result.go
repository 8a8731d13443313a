package weights

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Result is one measured run.
type Result struct {
	Place    string `json:"place"`
	System   string `json:"system"`
	Faults   string `json:"faults"`
	Replicas int    `json:"replicas"`
	// Seconds is the time until the last surviving replica has the model, and
	// MedianSeconds until half of them have it.
	Seconds       float64 `json:"seconds"`
	MedianSeconds float64 `json:"medianSeconds"`
	// BoundSeconds is the time over one link; AllLinksSeconds the one that
	// counts every link into a region.
	BoundSeconds    float64 `json:"boundSeconds"`
	AllLinksSeconds float64 `json:"allLinksSeconds"`
	// Ratio is Seconds over BoundSeconds.
	Ratio float64 `json:"ratio"`
	// OriginCopies is what was drawn from the origin, in copies of the model, and
	// OriginCopiesPerRegion the most that one region drew.
	OriginCopies          float64 `json:"originCopies"`
	OriginCopiesPerRegion float64 `json:"originCopiesPerRegion"`
	// MaxUploadCopies is the most that one instance sent.
	MaxUploadCopies float64 `json:"maxUploadCopies"`
	// CrossingCopies is what entered regions over links between regions, for each
	// region other than the origin's.
	CrossingCopies float64 `json:"crossingCopies"`
	// CrossingShare is the largest mean use of a link between regions.
	CrossingShare float64 `json:"crossingShare"`
	// ExtraCopies is what an instance received beyond one copy, in the mean.
	ExtraCopies float64 `json:"extraCopies"`
	// Survivors is the number of replicas that were not killed; Complete tells
	// that all of them have the model.
	Survivors int  `json:"survivors"`
	Complete  bool `json:"complete"`
}

func (r *Result) setTimes(p Place, times []time.Duration) {
	slices.Sort(times)
	r.Survivors = max(r.Survivors, len(times))
	r.Complete = len(times) == r.Survivors
	chunk := float64(chunkSize())
	r.BoundSeconds = bound(p, chunk).Seconds()
	r.AllLinksSeconds = boundAllLinks(p, chunk).Seconds()
	if len(times) == 0 {
		return
	}
	r.Seconds = times[len(times)-1].Seconds()
	r.MedianSeconds = times[len(times)/2].Seconds()
	r.Ratio = r.Seconds / r.BoundSeconds
}

// Report is the results of one measurement.
type Report struct {
	Results []Result `json:"results"`
}

// Table writes the report, as JSON or as aligned text.
func (r Report) Table(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "place\tsystem\tfaults\treplicas\tseconds\tmedian\tbound\tratio\torigin\tworst region\tmax upload\tcrossing\tlink use\textra\tdone\t")
	for _, x := range r.Results {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.3f\t%t\t\n",
			x.Place, x.System, x.Faults, x.Replicas, x.Seconds, x.MedianSeconds, x.BoundSeconds, x.Ratio,
			x.OriginCopies, x.OriginCopiesPerRegion, x.MaxUploadCopies, x.CrossingCopies, x.CrossingShare, x.ExtraCopies, x.Complete)
	}
	return t.Flush()
}

// The systems measured.
const (
	systemSwarm  = "swarm"
	systemOrigin = "allFromOrigin"
	systemTree   = "binaryTree"
)
