package load

import (
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// series is a named line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

func (r *Report) writePlots(dir string) error {
	timeSeries := func(f func(Point) float64) plotter.XYs {
		var xy plotter.XYs
		for _, p := range r.Series {
			xy = append(xy, plotter.XY{X: float64(p.AtMs) / 1000, Y: f(p)})
		}
		return xy
	}
	plots := []struct {
		file, title, x, y string
		lines             []series
	}{
		{"response.png", "Response time by arrival", "s", "ms", []series{
			{"p50", timeSeries(func(p Point) float64 { return p.P50Ms })},
			{"p99", timeSeries(func(p Point) float64 { return p.P99Ms })},
			{"p99 of short jobs", timeSeries(func(p Point) float64 { return p.ShortP99 })},
		}},
		{"answers.png", "Answers by arrival", "s", "jobs per 250 ms", []series{
			{"complete", timeSeries(func(p Point) float64 { return float64(p.Counts.Complete) })},
			{"refused", timeSeries(func(p Point) float64 { return float64(p.Counts.Refused) })},
			{"failed", timeSeries(func(p Point) float64 { return float64(p.Counts.Failed) })},
			{"unknown", timeSeries(func(p Point) float64 { return float64(p.Counts.Unknown + p.Counts.Pending) })},
		}},
		{"response-cdf.png", "Response time of complete jobs", "ms", "%", []series{
			{"all", cdf(r.responseCDF, microsPerMilli)},
		}},
		{"ratio-cdf.png", "Ratio of response time to ideal response time", "ratio", "%", []series{
			{"all", cdf(r.ratioCDF, ratioUnit)},
			{"short jobs", cdf(r.shortRatioCDF, ratioUnit)},
		}},
	}
	for _, p := range plots {
		if err := drawLines(filepath.Join(dir, p.file), p.title, p.x, p.y, p.lines); err != nil {
			return errors.Wrapf(err, "draw %s; give a writable output directory", p.file)
		}
	}
	return nil
}

func cdf(brackets []hdrhistogram.Bracket, unit float64) plotter.XYs {
	var xy plotter.XYs
	for _, b := range brackets {
		xy = append(xy, plotter.XY{X: float64(b.ValueAt) / unit, Y: b.Quantile})
	}
	return xy
}

func drawLines(path, title, x, y string, lines []series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	for i, s := range lines {
		if len(s.points) == 0 {
			continue
		}
		line, err := plotter.NewLine(s.points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}
