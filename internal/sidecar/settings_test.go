package sidecar

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fields are the platform's settings that the template takes, with the values
// that it fills in.
var fields = map[string]string{
	"node": "sidecar-a-1", "zone": "a", "service": "s", "app-addr": "10.0.0.1:8301", "platform.address": "10.0.0.2:8309",
	"listen.outbound": "10.0.0.1:8304", "listen.inbound": "10.0.0.1:8300", "listen.ready": "10.0.0.1:8302",
	"listen.control": "10.0.0.1:8306", "ip": "10.0.0.1", "bounds.grace-s": "6", "bounds.retry-budget-ratio": "0.2", "bounds.budget-window-s": "10", "bounds.budget-slack": "57",
}

var gap = regexp.MustCompile(`\{\{([a-z.-]+)(\|json)?\}\}`)

// section is a part of the template that stands only at the system's first start.
var section = regexp.MustCompile(`(?s)\{\{#bootstrap\}\}(.*?)\{\{/bootstrap\}\}`)

func fill(t *testing.T) string {
	t.Helper()
	return fillAt(t, false)
}

func fillAt(t *testing.T, firstStart bool) string {
	t.Helper()
	content, err := os.ReadFile("../../deploy/node.toml.tmpl")
	assert.NilError(t, err)
	template := string(content)
	assert.Assert(t, section.MatchString(template))
	if firstStart {
		template = section.ReplaceAllString(template, "$1")
	} else {
		template = section.ReplaceAllString(template, "")
	}
	return gap.ReplaceAllStringFunc(template, func(text string) string {
		parts := gap.FindStringSubmatch(text)
		value, known := fields[parts[1]]
		assert.Assert(t, known, "the template takes %s", parts[1])
		if parts[2] != "" && !strings.HasPrefix(parts[1], "bounds.") {
			return `"` + value + `"`
		}
		return value
	})
}

func TestTheDeployedTemplateGivesGoodSettings(t *testing.T) {
	settings, err := Parse([]byte(fill(t)))
	assert.NilError(t, err)
	assert.Equal(t, settings.Listen, Listen{Calls: "10.0.0.1:8304", Peers: "10.0.0.1:8300", Ready: "10.0.0.1:8302", Heartbeats: "10.0.0.1:8306", Metrics: "10.0.0.1:9464"})
	assert.Equal(t, settings.grace(), 6*time.Second)
	assert.Equal(t, settings.Retries.BudgetRatio, 0.2)
	assert.Equal(t, settings.Queue.MaxLength, DefaultQueueLength)
	assert.Assert(t, !settings.FirstStart)
	settings, err = Parse([]byte(fillAt(t, true)))
	assert.NilError(t, err)
	assert.Assert(t, settings.FirstStart)
}

func TestEveryFaultIsNamed(t *testing.T) {
	_, err := Parse([]byte("name = \"n\"\nservice = \"s\"\ntarget = \"host:80\"\n[queue]\nslot-share = 2.0\n[listen]\nmetrics = \"x\"\n"))
	for _, key := range []string{"zone", "target", "store", "listen.calls", "listen.metrics", "queue.slot-share"} {
		assert.ErrorContains(t, err, key)
	}
	_, err = Parse([]byte("name = "))
	assert.ErrorContains(t, err, "parse")
}

func TestUnknownKeysAreIgnored(t *testing.T) {
	_, err := Parse([]byte("something-new = [1, 2]\n" + fill(t) + "\n[something]\nelse = true\n"))
	assert.NilError(t, err)
}
