package test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendAs sends a message in the name of a target to its node and returns the status.
func sendAs(t *testing.T, n *platformNode, method, id, body string) int {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+n.target.Control+"/instances/"+id, strings.NewReader(body))
	assert.NilError(t, err)
	status, _, _ := doRequest(request)
	return status
}

// oddMessages returns messages that no target sends, with the status that they get. The start times
// of some are those of other starts.
func oddMessages(n *platformNode) map[string]int {
	usual := fmt.Sprintf(`{"service":"one","address":%q,"zone":"west","version":"v1","slots":16,"state":"ready","warmup-left-s":0,"seq":7,"born":%d}`, n.target.Address, n.target.StartedAt)
	born := fmt.Sprint(n.target.StartedAt)
	with := func(old, replacement string) string { return "PUT " + strings.Replace(usual, old, replacement, 1) }
	return map[string]int{
		with(n.target.Address, "127.0.0.1:70000"):     http.StatusBadRequest,
		with(n.target.Address, "127.0.0.9:80"):        http.StatusBadRequest,
		with(born, "9223372036854775807"):             http.StatusBadRequest,
		with(`"slots":16`, `"slots":1000000000`):      http.StatusBadRequest,
		with(`"seq":7`, `"seq":18446744073709551615`): http.StatusBadRequest,
		with(`"ready"`, `"asleep"`):                   http.StatusBadRequest,
		with(`"zone":"west"`, `"state":"draining"`):   http.StatusBadRequest,
		with(`"west"`, strings.Repeat("[", 60_000)):   http.StatusBadRequest,
		with(born, "7"): http.StatusOK,
		with(`"ready"`+`,"warmup-left-s":0,"seq":7,"born":`+born, `"draining","seq":7,"born":7`): http.StatusServiceUnavailable,
		"DELETE null":                         http.StatusBadRequest,
		"DELETE []":                           http.StatusBadRequest,
		"DELETE \x00":                         http.StatusBadRequest,
		`DELETE {"born":null}`:                http.StatusBadRequest,
		`DELETE {"born":"` + born + `"}`:      http.StatusBadRequest,
		`DELETE {"born":9223372036854775807}`: http.StatusBadRequest,
		`DELETE {"born":7}`:                   http.StatusServiceUnavailable,
	}
}

func TestPlatformTargetOutlastsOddMessages(t *testing.T) {
	p := startPlatform(t, "west", "west")
	n := p.nodes[0]
	load := p.startLoad("/once/x", p.nodes...)
	for message, expected := range oddMessages(n) {
		method, body, _ := strings.Cut(message, " ")
		assert.Check(t, sendAs(t, n, method, n.target.ID, body) == expected, "%.120s", message)
		assert.Check(t, sendAs(t, n, method, strings.Repeat("i", 300), body) == http.StatusBadRequest, "%.120s", message)
	}
	runs := n.target.RunCount()
	time.Sleep(2 * time.Second)
	counts := load.stopAndCount()
	assert.Equal(t, len(counts), 1, "%v", counts)
	assert.Check(t, n.target.RunCount() > runs+counts[http.StatusOK]/10, "%d of %d requests", n.target.RunCount()-runs, counts[http.StatusOK])
	assert.NilError(t, n.target.Drain(context.Background()))
	time.Sleep(time.Second)
	runs = n.target.RunCount()
	load = p.startLoad("/once/x", p.nodes...)
	time.Sleep(time.Second)
	load.stopAndCount()
	assert.Equal(t, n.target.RunCount(), runs)
}
