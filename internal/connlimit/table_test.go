package connlimit

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestIdleConnectionsTakeAllDescriptors plays connections on a table with a bound of 3. Steps are
// "~a" (opened), "+a" (opened, idle after a request), "#a" (opened, not closable), "!a" (busy), "-a"
// (idle), "xa" (closed), "?" (a connection beyond the bound is selected) and "*" (any is).
func TestIdleConnectionsTakeAllDescriptors(t *testing.T) {
	plays := []struct{ name, steps, selected string }{
		{"within the bound", "+a +b +c ?", "none"},
		{"the first opened is selected", "+a +b +c +d ?", "a"},
		{"a selected one no longer counts", "+a +b +c +d ? ?", "a none"},
		{"one for each beyond the bound", "+a +b +c +d +e ? ? ?", "a b none"},
		{"a used one has been idle for a shorter time", "+a +b +c !a -a +d ?", "b"},
		{"a busy one is not selected", "+a +b !a !b +c +d ?", "c"},
		{"all are busy", "+a +b +c +d !a !b !c !d ?", "none"},
		{"all others are not closable", "#a #b #c +d ?", "d"},
		{"none is closable", "#a #b #c #d ? *", "none none"},
		{"closed ones do not count", "+a +b +c +d xa ?", "none"},
		{"a selected one that got a request counts again", "+a +b +c +d ? !a ?", "a b"},
		{"a selected one is closed", "+a +b +c +d ? xa +e ?", "a b"},
		{"a selected one is idle again", "+a +b +c +d ? !a -a ?", "a b"},
		{"descriptors are out below the bound", "+a +b * * *", "a b none"},
		{"a first request may be arriving", "~a ~b ~c ~d ?", "none"},
		{"first requests may be arriving while all others are busy", "+a +b +c !a !b !c ~d ~e ? ?", "none none"},
		{"descriptors are out, used ones first", "~a +b ~c * * * *", "b a c none"},
		{"a first request keeps its connection", "~a +b * * !a", "b a"},
		{"unknown connections", "!a -a xa +b ?", "none"},
	}
	for _, play := range plays {
		t.Run(play.name, func(t *testing.T) {
			table := New[string](3)
			var selected []string
			record := func(key string, found bool) {
				if !found {
					key = "none"
				}
				selected = append(selected, key)
			}
			for step := range strings.FieldsSeq(play.steps) {
				switch key := step[1:]; step[0] {
				case '~':
					table.Opened(key, true)
				case '+':
					table.Opened(key, true)
					table.Idle(key)
				case '#':
					table.Opened(key, false)
				case '!':
					table.Busy(key)
				case '-':
					table.Idle(key)
				case 'x':
					table.Closed(key)
				case '?':
					record(table.SelectExcess())
				case '*':
					record(table.Select())
				}
			}
			assert.Equal(t, strings.Join(selected, " "), play.selected)
		})
	}
}
