package report

import (
	"encoding/base64"
	"html/template"
	"io"

	"github.com/lugspur/lugspur/lab/experiment"
)

// page is the data of the HTML template.
type page struct {
	Systems []experiment.System
	Groups  []section
}

// section is the data of one group of results.
type section struct {
	Scenario, Mesh string
	Capacity       float64
	Rows           []row
	Images         []image
}

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"source": func(png []byte) template.URL {
		return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png))
	},
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>lugspur experiments</title>
<style>
body { font-family: sans-serif; max-width: 80em; margin: 2em auto; padding: 0 1em; }
table { border-collapse: collapse; font-size: 90%; }
th, td { border: 1px solid #ccc; padding: 0.2em 0.5em; text-align: right; }
th:first-child, td:first-child, td:last-child { text-align: left; }
tr.invalid { color: #999; }
img { max-width: 49%; }
</style>
</head>
<body>
<h1>lugspur experiments</h1>
<p>Goodput is the rate of client requests that were answered completely, correctly and before their deadline. Attainable is an upper bound
of the rate that the mesh can complete of the offered calls if higher criticalities have strict priority. Invalid runs are grey.</p>
<dl>{{range .Systems}}<dt>{{.Name}}</dt><dd>{{.Description}}</dd>{{end}}</dl>
{{range .Groups}}
<h2>{{.Scenario}} on {{.Mesh}}</h2>
<p>Capacity with the shares of the mesh file: {{printf "%.0f" .Capacity}} calls/s</p>
<table>
<tr><th>system</th><th>seed</th><th>goodput before /s</th><th>during /s</th><th>after /s</th><th>during, of attainable</th><th>after, of offered</th>
<th>critical-plus lost during</th><th>recovery</th><th>wasted work</th><th>retries by clients</th><th>by nodes</th><th>max. executions per client attempt</th>
<th>refusal p50 ms</th><th>p99 ms</th><th>invalid because</th></tr>
{{range .Rows}}<tr{{if .Remark}} class="invalid"{{end}}><td>{{.System}}</td><td>{{.Seed}}</td><td>{{.Before}}</td><td>{{.During}}</td><td>{{.After}}</td><td>{{.OfAttainable}}</td><td>{{.OfOfferedAfter}}</td><td>{{.CriticalPlusLost}}</td><td>{{.Recovery}}</td><td>{{.Waste}}</td><td>{{.ClientRetries}}</td><td>{{.NodeRetries}}</td><td>{{.MostExecutions}}</td><td>{{.RefusalP50}}</td><td>{{.RefusalP99}}</td><td>{{.Remark}}</td></tr>
{{end}}</table>
<p>{{range .Images}}<img src="{{source .PNG}}" alt="{{.Title}}">
{{end}}</p>
{{end}}
</body>
</html>
`))

// newPage returns the data for the template, including the rendered plots.
func newPage(results []*experiment.Result) (page, error) {
	report := page{Systems: experiment.Systems()}
	for _, g := range groupResults(results) {
		images, err := g.images()
		if err != nil {
			return page{}, err
		}
		report.Groups = append(report.Groups, section{
			Scenario: g.Scenario,
			Mesh:     g.Mesh,
			Capacity: g.Results[0].Capacity,
			Rows:     g.rows(),
			Images:   images,
		})
	}
	return report, nil
}

func (p page) write(w io.Writer) error { return pageTemplate.Execute(w, p) }
