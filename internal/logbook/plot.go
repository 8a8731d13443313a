package logbook

import (
	"cmp"
	"io"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WriteSVG draws the requests that ended in each second, a line for each outcome.
func (u *Summary) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "requests that ended, by outcome"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests in the second"
	p.Legend.Top = true
	var lines []any
	for _, s := range u.series() {
		lines = append(lines, s.name, s.points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return eris.Wrap(err, "plot")
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	_, err = writer.WriteTo(w)
	return eris.Wrap(err, "plot")
}

type series struct {
	name   string
	points plotter.XYs
}

// series returns the count of each outcome in each second from the first on, also in
// seconds without one.
func (u *Summary) series() []series {
	var all []series
	seconds := u.Seconds()
	for _, s := range seconds {
		for _, c := range s.Outcomes {
			if !slices.ContainsFunc(all, func(s series) bool { return s.name == c.Name }) {
				all = append(all, series{name: c.Name})
			}
		}
	}
	slices.SortFunc(all, func(a, b series) int { return cmp.Compare(a.name, b.name) })
	if len(seconds) == 0 {
		return nil
	}
	first, last := seconds[0].At.Unix(), seconds[len(seconds)-1].At.Unix()
	for i := range all {
		for at := first; at <= last; at++ {
			y := float64(u.seconds[at][all[i].name])
			all[i].points = append(all[i].points, plotter.XY{X: float64(at - first), Y: y})
		}
	}
	return all
}
