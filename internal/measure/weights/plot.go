package weights

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws, for each place, the time to N replicas and the copies drawn from
// the origin as SVG files in dir, which it creates.
func (r Report) Plot(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "directory of the plots")
	}
	for _, place := range Places() {
		name := place.name
		times := func(x Result) float64 { return x.Seconds }
		if err := r.draw(filepath.Join(dir, name+"-time.svg"), name+": time to N replicas", "seconds", name, times, true); err != nil {
			return err
		}
		copies := func(x Result) float64 { return x.OriginCopies }
		if err := r.draw(filepath.Join(dir, name+"-origin.svg"), name+": drawn from the origin", "copies of the model", name, copies, false); err != nil {
			return err
		}
	}
	return nil
}

func (r Report) draw(path, title, unit, place string, value func(Result) float64, withBound bool) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "replicas"
	p.Y.Label.Text = unit
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, series := range r.series(place, value, withBound) {
		lines = append(lines, series.name, series.points)
	}
	if len(lines) == 0 {
		return nil
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return eris.Wrapf(err, "plot %s", title)
	}
	return eris.Wrapf(p.Save(plotWidth, plotHeight, path), "plot %s", title)
}

type series struct {
	name   string
	points plotter.XYs
}

// series returns the values of a place by system in the order of the replicas.
func (r Report) series(place string, value func(Result) float64, withBound bool) []series {
	var all []series
	add := func(name string, n int, y float64) {
		i := slices.IndexFunc(all, func(s series) bool { return s.name == name })
		if i < 0 {
			all = append(all, series{name: name})
			i = len(all) - 1
		}
		all[i].points = append(all[i].points, plotter.XY{X: float64(n), Y: y})
	}
	for _, x := range r.Results {
		if x.Place != place {
			continue
		}
		name := x.System
		if x.Faults != "" {
			name += ", faults"
		}
		add(name, x.Replicas, value(x))
		if withBound && x.System == systemSwarm && x.Faults == "" {
			add("lower bound", x.Replicas, x.BoundSeconds)
		}
	}
	return all
}
