package report

import (
	"bytes"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/lab/experiment"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// smoothedBuckets is the number of buckets over which rates are averaged.
const smoothedBuckets = 3

// image is a plot as a PNG file.
type image struct {
	Name, Title string
	PNG         []byte
}

// chart says what a plot shows.
type chart struct {
	name, title, unit string
	points            func(*experiment.Result) plotter.XYs
	// reference is a line of the first system besides, or nil.
	reference func(*experiment.Result) plotter.XYs
}

var charts = []chart{
	{
		name:      "goodput",
		title:     "Goodput (grey: calls offered)",
		unit:      "calls/s",
		points:    goodput,
		reference: offered,
	},
	{name: "shed-level", title: "Lowest shed threshold of any target (512: nothing shed; 128: critical-plus only)", unit: "rank key", points: shedLevel},
	{name: "queue", title: "Calls that wait, at homes and at targets", unit: "calls", points: queued},
	{name: "retries", title: "Retries by clients and nodes", unit: "calls/s", points: retries},
}

// images draws all plots of a group.
func (g group) images() ([]image, error) {
	var images []image
	for _, c := range charts {
		drawn, err := c.draw(g)
		if err != nil {
			return nil, err
		}
		images = append(images, image{Name: g.name() + "-" + c.name, Title: c.title, PNG: drawn})
	}
	return images, nil
}

// colors are those of the systems, in their order.
var colors = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x66, G: 0x66, B: 0x66, A: 0xff},
}

func (c chart) draw(g group) ([]byte, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "seconds since the start of the load"
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	lines := g.lines()
	if c.reference != nil && len(lines) > 0 {
		if err := addLine(p, c.reference(lines[0]), color.Gray{Y: 0xb0}, "offered"); err != nil {
			return nil, err
		}
	}
	for _, result := range lines {
		order := min(systemOrder(result.System), len(colors)-1)
		if err := addLine(p, c.points(result), colors[order], result.System); err != nil {
			return nil, err
		}
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return nil, err
	}
	var drawn bytes.Buffer
	_, err = writer.WriteTo(&drawn)
	return drawn.Bytes(), err
}

func addLine(p *plot.Plot, points plotter.XYs, shade color.Color, name string) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = shade
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// rateOf averages a count of the timeline's buckets.
func rateOf(result *experiment.Result, count func(experiment.Bucket) int) plotter.XYs {
	var points plotter.XYs
	buckets := result.Timeline
	for i := smoothedBuckets; i <= len(buckets); i++ {
		total := 0
		for _, bucket := range buckets[i-smoothedBuckets : i] {
			total += count(bucket)
		}
		from, to := buckets[i-smoothedBuckets].Seconds, buckets[i-1].Seconds
		width := (to - from) / (smoothedBuckets - 1) * smoothedBuckets
		if width > 0 {
			points = append(points, plotter.XY{X: (from + to) / 2, Y: float64(total) / width})
		}
	}
	return points
}

func goodput(result *experiment.Result) plotter.XYs {
	return rateOf(result, func(bucket experiment.Bucket) int { return bucket.Completed })
}

func offered(result *experiment.Result) plotter.XYs {
	return rateOf(result, func(bucket experiment.Bucket) int { return bucket.Offered })
}

func shedLevel(result *experiment.Result) plotter.XYs {
	return sampled(result, func(sample experiment.Sample) float64 {
		return min(sample.LowestThreshold(), criticality.RankCount)
	})
}

func queued(result *experiment.Result) plotter.XYs {
	return sampled(result, func(sample experiment.Sample) float64 { return sample.Queued() + float64(sample.Waiting()) })
}

func sampled(result *experiment.Result, value func(experiment.Sample) float64) plotter.XYs {
	var points plotter.XYs
	for _, sample := range result.Samples {
		points = append(points, plotter.XY{X: sample.Seconds, Y: value(sample)})
	}
	return points
}

// retries adds the tries of clients after their first, from the timeline, to
// the growth of the nodes' counters, from the samples.
func retries(result *experiment.Result) plotter.XYs {
	clients := rateOf(result, func(bucket experiment.Bucket) int { return max(bucket.Attempts-bucket.Offered, 0) })
	points := make(plotter.XYs, 0, len(clients))
	for _, point := range clients {
		points = append(points, plotter.XY{X: point.X, Y: point.Y + nodeRetryRate(result.Samples, point.X)})
	}
	return points
}

// nodeRetryRate is the growth of the nodes' retry counters around the moment.
// A node that was started again counts from zero, so that falls are left out.
func nodeRetryRate(samples []experiment.Sample, moment float64) float64 {
	for i := 1; i < len(samples); i++ {
		if samples[i].Seconds < moment {
			continue
		}
		elapsed := samples[i].Seconds - samples[i-1].Seconds
		if elapsed <= 0 {
			return 0
		}
		return max(samples[i].Retries-samples[i-1].Retries, 0) / elapsed
	}
	return 0
}
