package goodput

import (
	"os"
	"path/filepath"

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

// Plot draws, for each shape, the answers in time by load as an SVG file in dir, which it
// creates.
func (r Report) Plot(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "directory of the plots")
	}
	for _, shape := range Shapes() {
		if err := r.draw(shape, filepath.Join(dir, "goodput-"+string(shape)+".svg")); err != nil {
			return err
		}
	}
	return nil
}

func (r Report) draw(shape Shape, path string) error {
	p := plot.New()
	p.Title.Text = string(shape) + ": answers in time"
	p.X.Label.Text = "offered load, of what the engines carry"
	p.Y.Label.Text = "share of the bound"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, policy := range policies() {
		var points plotter.XYs
		for _, x := range r.Results {
			if x.Shape == shape && x.Policy == policy.name {
				points = append(points, plotter.XY{X: x.Load, Y: x.OfBound})
			}
		}
		if len(points) > 0 {
			lines = append(lines, policy.name, points)
		}
	}
	if len(lines) == 0 {
		return nil
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return eris.Wrapf(err, "plot %s", shape)
	}
	return eris.Wrapf(p.Save(plotWidth, plotHeight, path), "plot %s", shape)
}
