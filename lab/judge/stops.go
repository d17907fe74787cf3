package judge

import (
	"fmt"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/load"
)

// plannedStop is the planned stop of one node.
type plannedStop struct {
	node, edge   string
	asked, ended time.Time
	failure      string
}

// checkStops looks for calls that were in a node when it was stopped as
// planned and got neither an answer nor a refusal, and for stops that failed.
func checkStops(i *index) []Breach {
	var found []Breach
	for _, stop := range i.plannedStops() {
		if stop.failure != "" {
			found = append(found, Breach{
				Kind:     StopFailed,
				At:       stop.ended,
				Summary:  fmt.Sprintf("the planned stop of %s failed: %s", stop.node, stop.failure),
				Node:     stop.node,
				Evidence: []Evidence{stopEvidence(stop), evidence(stop.ended, "%s ended: %s", stop.node, stop.failure)},
			})
		}
		found = append(found, i.cutBy(stop)...)
	}
	return found
}

func stopEvidence(stop plannedStop) Evidence {
	return evidence(stop.asked, "%s with edge %s was asked to stop", stop.node, stop.edge)
}

func (i *index) plannedStops() []plannedStop {
	var stops []plannedStop
	for _, event := range i.Events {
		switch event.Kind {
		case StopAsked:
			stops = append(stops, plannedStop{node: event.Node, edge: event.Edge, asked: event.At})
		case StopEnded:
			for s := range stops {
				if stops[s].node == event.Node && stops[s].ended.IsZero() {
					stops[s].ended, stops[s].failure = event.At, event.Detail
				}
			}
		}
	}
	return stops
}

func (i *index) cutBy(stop plannedStop) []Breach {
	var found []Breach
	for _, call := range i.Calls {
		if call.Edge != stop.edge {
			continue
		}
		for _, attempt := range call.Attempts {
			if !wasIn(stop, attempt) || !cutOff(attempt) {
				continue
			}
			found = append(found, Breach{
				Kind:      CutByStop,
				At:        attempt.End,
				Summary:   fmt.Sprintf("the planned stop of %s cut off a %s", stop.node, call.Kind),
				RequestID: attempt.RequestID,
				Node:      stop.node,
				Evidence:  []Evidence{sent(call, attempt), stopEvidence(stop), ended(attempt)},
			})
		}
	}
	return found
}

// wasIn reports whether the try was open at some moment between the stop's
// beginning and the process's end.
func wasIn(stop plannedStop, attempt load.Attempt) bool {
	if attempt.End.Before(stop.asked) {
		return false
	}
	return stop.ended.IsZero() || attempt.Start.Before(stop.ended)
}

// dialFailure begins the error of a try whose connection was never made: it
// was in no node.
const dialFailure = "dial "

// cutOff reports whether a try that reached a node got neither an answer nor a
// refusal, although its caller was still there.
func cutOff(attempt load.Attempt) bool {
	switch attempt.Verdict {
	case load.VerdictError:
		return attempt.Status == 0 && !strings.HasPrefix(attempt.Error, dialFailure)
	case load.VerdictRefused:
		return attempt.Reason == problem.CallerGone
	}
	return false
}
