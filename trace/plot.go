package trace

import (
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Colors of the two replays in all plots.
var (
	productColor = color.RGBA{B: 200, A: 255}
	naiveColor   = color.RGBA{R: 200, A: 255}
)

// PlotError reports a plot that cannot be drawn or written.
type PlotError struct {
	Path string
	Err  error
}

// Error returns the path and the cause.
func (e *PlotError) Error() string { return "plot " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PlotError) Unwrap() error { return e.Err }

// Plot writes the files TRACE-fragmentation.png and TRACE-completion.png to the
// directory. It fails with *PlotError.
func (r Result) Plot(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return &PlotError{dir, err}
	}
	for name, p := range map[string]func() (*plot.Plot, error){"fragmentation": r.fragmentationPlot, "completion": r.completionPlot} {
		path := filepath.Join(dir, r.Trace+"-"+name+".png")
		pl, err := p()
		if err == nil {
			err = pl.Save(22*vg.Centimeter, 12*vg.Centimeter, path)
		}
		if err != nil {
			return &PlotError{path, err}
		}
	}
	return nil
}

// fragmentationPlot draws the fragmentation of both replays over time.
func (r Result) fragmentationPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Trace + ": fragmentation over time"
	p.X.Label.Text = "minutes"
	p.Y.Label.Text = "share of free accelerators"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	for _, s := range []struct {
		name   string
		points []Point
		color  color.Color
	}{{"product", r.Product.Series, productColor}, {"naive", r.Naive.Series, naiveColor}} {
		xy := make(plotter.XYs, len(s.points))
		for i, v := range s.points {
			xy[i] = plotter.XY{X: float64(v.At) / minute, Y: v.Value}
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return nil, err
		}
		line.Color = s.color
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return p, nil
}

// completionPlot draws the completion times of each type of job and request on a
// logarithmic scale, the median as a ring and p99 as a triangle.
func (r Result) completionPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Trace + ": completion times, p50 (ring) and p99 (triangle)"
	p.Y.Label.Text = "seconds"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var names []string
	for _, c := range r.Naive.Types {
		names = append(names, c.Type)
	}
	for k, s := range []struct {
		name  string
		from  Measures
		color color.Color
	}{{"product", r.Product, productColor}, {"naive", r.Naive, naiveColor}} {
		var p50, p99 plotter.XYs
		for i, name := range names {
			c := s.from.Type(name)
			if c.Count == 0 {
				continue
			}
			x := float64(i) + 0.15*float64(2*k-1)
			p50 = append(p50, plotter.XY{X: x, Y: float64(c.P50) / 1000})
			p99 = append(p99, plotter.XY{X: x, Y: float64(c.P99) / 1000})
		}
		for j, xy := range []plotter.XYs{p50, p99} {
			sc, err := plotter.NewScatter(xy)
			if err != nil {
				return nil, err
			}
			sc.GlyphStyle = draw.GlyphStyle{Color: s.color, Radius: vg.Points(4), Shape: draw.RingGlyph{}}
			if j == 1 {
				sc.GlyphStyle.Shape = draw.PyramidGlyph{}
				p.Legend.Add(s.name, sc)
			}
			p.Add(sc)
		}
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, float64(len(names))-0.5
	return p, nil
}
