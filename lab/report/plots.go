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

// averagedBuckets is the number of timeline buckets in the moving average of rates.
const averagedBuckets = 3

// image is a plot as a PNG file.
type image struct {
	Name, Title string
	PNG         []byte
}

// chart is the definition of a plot.
type chart struct {
	name, title, unit string
	series            func(*experiment.Result) plotter.XYs
	// reference returns an additional line from the result of the first system; nil
	// means none.
	reference func(*experiment.Result) plotter.XYs
}

var charts = []chart{
	{
		name:      "goodput",
		title:     "Goodput (grey: calls offered)",
		unit:      "calls/s",
		series:    goodputSeries,
		reference: offeredSeries,
	},
	{name: "shed-level", title: "Lowest shed threshold of any target (512: no calls shed; 128: only critical-plus calls admitted)", unit: "rank key", series: shedThresholdSeries},
	{name: "queue", title: "Calls queued at home nodes and waiting at targets", unit: "calls", series: queuedSeries},
	{name: "retries", title: "Retries by clients and nodes", unit: "calls/s", series: retrySeries},
}

// images renders all plots of a group.
func (g group) images() ([]image, error) {
	var images []image
	for _, c := range charts {
		encoded, err := c.render(g)
		if err != nil {
			return nil, err
		}
		images = append(images, image{Name: g.filePrefix() + "-" + c.name, Title: c.title, PNG: encoded})
	}
	return images, nil
}

// systemColors are the line colors of the systems in the order of experiment.Systems.
// The last one is the color of unknown systems.
var systemColors = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x66, G: 0x66, B: 0x66, A: 0xff},
}

func (c chart) render(g group) ([]byte, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "seconds since the start of the load"
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	results := g.plottedResults()
	if c.reference != nil && len(results) > 0 {
		if err := addLine(p, c.reference(results[0]), color.Gray{Y: 0xb0}, "offered"); err != nil {
			return nil, err
		}
	}
	for _, result := range results {
		order := min(systemOrder(result.System), len(systemColors)-1)
		if err := addLine(p, c.series(result), systemColors[order], result.System); err != nil {
			return nil, err
		}
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return nil, err
	}
	var encoded bytes.Buffer
	_, err = writer.WriteTo(&encoded)
	return encoded.Bytes(), err
}

func addLine(p *plot.Plot, points plotter.XYs, lineColor color.Color, name string) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = lineColor
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// averageRate returns the moving average of a count in the timeline's buckets, as a
// rate per second.
func averageRate(result *experiment.Result, count func(experiment.Bucket) int) plotter.XYs {
	var points plotter.XYs
	buckets := result.Timeline
	for i := averagedBuckets; i <= len(buckets); i++ {
		total := 0
		for _, bucket := range buckets[i-averagedBuckets : i] {
			total += count(bucket)
		}
		from, to := buckets[i-averagedBuckets].Seconds, buckets[i-1].Seconds
		width := (to - from) / (averagedBuckets - 1) * averagedBuckets
		if width > 0 {
			points = append(points, plotter.XY{X: (from + to) / 2, Y: float64(total) / width})
		}
	}
	return points
}

func goodputSeries(result *experiment.Result) plotter.XYs {
	return averageRate(result, func(bucket experiment.Bucket) int { return bucket.Completed })
}

func offeredSeries(result *experiment.Result) plotter.XYs {
	return averageRate(result, func(bucket experiment.Bucket) int { return bucket.Offered })
}

func shedThresholdSeries(result *experiment.Result) plotter.XYs {
	return sampleSeries(result, func(sample experiment.Sample) float64 {
		return min(sample.LowestThreshold(), criticality.RankCount)
	})
}

func queuedSeries(result *experiment.Result) plotter.XYs {
	return sampleSeries(result, func(sample experiment.Sample) float64 { return sample.Queued() + float64(sample.Waiting()) })
}

func sampleSeries(result *experiment.Result, value func(experiment.Sample) float64) plotter.XYs {
	var points plotter.XYs
	for _, sample := range result.Samples {
		points = append(points, plotter.XY{X: sample.Seconds, Y: value(sample)})
	}
	return points
}

// retrySeries returns the sum of the retry rates of clients, from the timeline, and of
// nodes, from the samples.
func retrySeries(result *experiment.Result) plotter.XYs {
	clients := averageRate(result, func(bucket experiment.Bucket) int { return max(bucket.Attempts-bucket.Offered, 0) })
	points := make(plotter.XYs, 0, len(clients))
	for _, point := range clients {
		points = append(points, plotter.XY{X: point.X, Y: point.Y + nodeRetryRate(result.Samples, point.X)})
	}
	return points
}

// nodeRetryRate returns the rate at which the nodes' retry counters increase at the
// given time. The counters of a restarted node start from zero, so decreases are
// ignored.
func nodeRetryRate(samples []experiment.Sample, seconds float64) float64 {
	for i := 1; i < len(samples); i++ {
		if samples[i].Seconds < seconds {
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
