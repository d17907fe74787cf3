package sidecar

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// templateValues are the values of the template's placeholders, which the platform fills in.
var templateValues = map[string]string{
	"node": "sidecar-a-1", "zone": "a", "service": "s", "app-addr": "10.0.0.1:8301", "platform.address": "10.0.0.2:8309",
	"listen.outbound": "10.0.0.1:8304", "listen.inbound": "10.0.0.1:8300", "listen.ready": "10.0.0.1:8302",
	"listen.control": "10.0.0.1:8306", "ip": "10.0.0.1", "ephemeral-ports.0": "7620", "bounds.grace-s": "6", "bounds.retry-budget-ratio": "0.2", "bounds.budget-window-s": "10", "bounds.budget-slack": "57",
	"bounds.revoke-s": "5", "bounds.quota-window-s": "6", "bounds.quota-overshoot": "0.2", "bounds.quota-slack": "21",
	"fault-tolerance.zones": "1", "limits.memory-mb": "284", "limits.max-fds": "4100",
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)

// sections are the parts of the template that are only rendered if a field is given: on the
// system's first start, and if there are bounds for tenants.
var sections = map[string]*regexp.Regexp{
	"bootstrap":             regexp.MustCompile(`(?s)\{\{#bootstrap\}\}(.*?)\{\{/bootstrap\}\}`),
	"bounds.strict-revoke":  regexp.MustCompile(`(?s)\{\{#bounds.strict-revoke\}\}(.*?)\{\{/bounds.strict-revoke\}\}`),
	"fault-tolerance.zones": regexp.MustCompile(`(?s)\{\{#fault-tolerance.zones\}\}(.*?)\{\{/fault-tolerance.zones\}\}`),
	"limits.memory-mb":      regexp.MustCompile(`(?s)\{\{#limits.memory-mb\}\}(.*?)\{\{/limits.memory-mb\}\}`),
	"limits.max-fds":        regexp.MustCompile(`(?s)\{\{#limits.max-fds\}\}(.*?)\{\{/limits.max-fds\}\}`),
	"bounds.quota-window-s": regexp.MustCompile(`(?s)\{\{#bounds.quota-window-s\}\}(.*?)\{\{/bounds.quota-window-s\}\}`),
}

func renderTemplate(t *testing.T) string {
	t.Helper()
	return renderTemplateWith(t)
}

// renderTemplateWith renders the deployed template with the given sections.
func renderTemplateWith(t *testing.T, enabled ...string) string {
	t.Helper()
	content, err := os.ReadFile("../../deploy/node.toml.tmpl")
	assert.NilError(t, err)
	template := string(content)
	for name, section := range sections {
		assert.Assert(t, section.MatchString(template), "the template has no section %s", name)
		replacement := ""
		if slices.Contains(enabled, name) {
			replacement = "$1"
		}
		template = section.ReplaceAllString(template, replacement)
	}
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value, known := templateValues[parts[1]]
		assert.Assert(t, known, "the template has an unknown placeholder %s", parts[1])
		if parts[2] != "" && !strings.HasPrefix(parts[1], "bounds.") && !strings.HasPrefix(parts[1], "limits.") && !strings.HasPrefix(parts[1], "fault-tolerance.") {
			return `"` + value + `"`
		}
		return value
	})
}

func TestDeployTemplateYieldsValidSettings(t *testing.T) {
	settings, err := Parse([]byte(renderTemplate(t)))
	assert.NilError(t, err)
	assert.Equal(t, settings.Listen, Listen{Calls: "10.0.0.1:8304", Peers: "10.0.0.1:8300", Ready: "10.0.0.1:8302", Heartbeats: "10.0.0.1:8306", Permits: "10.0.0.1:7620", Metrics: "10.0.0.1:9464"})
	assert.Equal(t, settings.grace(), 6*time.Second)
	assert.Equal(t, settings.Retries.BudgetRatio, 0.2)
	assert.Equal(t, settings.Resources, ResourceSettings{MemoryMB: DefaultMemoryMB, Descriptors: DefaultDescriptors})
	settings, err = Parse([]byte(renderTemplateWith(t, "limits.memory-mb", "limits.max-fds")))
	assert.NilError(t, err)
	assert.Equal(t, settings.Resources, ResourceSettings{MemoryMB: 284, Descriptors: 4100})
	assert.Equal(t, settings.Queue.MaxLength, DefaultQueueLength)
	assert.Assert(t, !settings.FirstStart)
	assert.Assert(t, !settings.Shortage.Expected())
	assert.Equal(t, settings.Tenants, TenantSettings{WindowSeconds: DefaultLimitWindow, Overshoot: DefaultLimitOvershoot, Slack: DefaultLimitSlack})
	settings, err = Parse([]byte(renderTemplateWith(t, "bootstrap", "bounds.strict-revoke", "bounds.quota-window-s", "fault-tolerance.zones")))
	assert.NilError(t, err)
	assert.Assert(t, settings.Shortage.Expected())
	assert.Assert(t, settings.FirstStart)
	assert.Equal(t, settings.Tenants, TenantSettings{RevokeSeconds: 5, WindowSeconds: 6, Overshoot: 0.2, Slack: 21})
}

func TestParseReportsEveryError(t *testing.T) {
	_, err := Parse([]byte("name = \"n\"\nservice = \"s\"\ntarget = \"host:80\"\n[queue]\nslot-share = 2.0\n[listen]\nmetrics = \"x\"\n[shortage]\nzone-losses = 17\n"))
	for _, key := range []string{"zone", "target", "store", "listen.calls", "listen.metrics", "queue.slot-share", "shortage.zone-losses"} {
		assert.ErrorContains(t, err, key)
	}
	_, err = Parse([]byte("name = "))
	assert.ErrorContains(t, err, "parse")
}

func TestUnknownKeysAreIgnored(t *testing.T) {
	_, err := Parse([]byte("something-new = [1, 2]\n" + renderTemplate(t) + "\n[something]\nelse = true\n"))
	assert.NilError(t, err)
}
