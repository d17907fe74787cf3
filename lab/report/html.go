package report

import (
	"encoding/base64"
	"html/template"
	"io"

	"github.com/lugspur/lugspur/lab/experiment"
)

// page is what the template shows.
type page struct {
	Systems []experiment.System
	Groups  []section
}

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
<p>Goodput counts whole requests that were answered completely, correctly and in time. Attainable is the most that the mesh
can complete of what was offered when the more important goes first. Runs in grey don't count.</p>
<dl>{{range .Systems}}<dt>{{.Name}}</dt><dd>{{.Description}}</dd>{{end}}</dl>
{{range .Groups}}
<h2>{{.Scenario}} on {{.Mesh}}</h2>
<p>Capacity at the mesh file's shares: {{printf "%.0f" .Capacity}} calls/s</p>
<table>
<tr><th>system</th><th>seed</th><th>goodput before /s</th><th>during /s</th><th>after /s</th><th>during, of attainable</th><th>after, of offered</th>
<th>critical-plus lost during</th><th>recovery</th><th>wasted work</th><th>retries by clients</th><th>by nodes</th><th>executions of one try, at most</th>
<th>refusal p50 ms</th><th>p99 ms</th><th>doesn't count because</th></tr>
{{range .Rows}}<tr{{if .Remark}} class="invalid"{{end}}><td>{{.System}}</td><td>{{.Seed}}</td><td>{{.Before}}</td><td>{{.During}}</td><td>{{.After}}</td><td>{{.OfAttainable}}</td><td>{{.OfOfferedAfter}}</td><td>{{.CriticalPlusLost}}</td><td>{{.Recovery}}</td><td>{{.Waste}}</td><td>{{.ClientRetries}}</td><td>{{.NodeRetries}}</td><td>{{.MostExecutions}}</td><td>{{.RefusalP50}}</td><td>{{.RefusalP99}}</td><td>{{.Remark}}</td></tr>
{{end}}</table>
<p>{{range .Images}}<img src="{{source .PNG}}" alt="{{.Title}}">
{{end}}</p>
{{end}}
</body>
</html>
`))

// pageOf makes the page of the results, with all plots.
func pageOf(results []*experiment.Result) (page, error) {
	made := page{Systems: experiment.Systems()}
	for _, g := range groupsOf(results) {
		images, err := g.images()
		if err != nil {
			return page{}, err
		}
		made.Groups = append(made.Groups, section{
			Scenario: g.Scenario,
			Mesh:     g.Mesh,
			Capacity: g.Results[0].Capacity,
			Rows:     g.rows(),
			Images:   images,
		})
	}
	return made, nil
}

func (p page) write(w io.Writer) error { return pageTemplate.Execute(w, p) }
