package judge

import (
	"fmt"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/load"
)

// gracefulStop is the graceful stop of one node.
type gracefulStop struct {
	node, edge       string
	requested, ended time.Time
	failure          string
}

// checkStops finds calls that were in flight at a node during a graceful stop
// and got neither a response nor a refusal, and stops that failed.
func checkStops(i *index) []Breach {
	var found []Breach
	for _, stop := range i.gracefulStops() {
		if stop.failure != "" {
			found = append(found, Breach{
				Kind:     StopFailed,
				At:       stop.ended,
				Summary:  fmt.Sprintf("the graceful stop of %s failed: %s", stop.node, stop.failure),
				Node:     stop.node,
				Evidence: []Evidence{stopEvidence(stop), evidence(stop.ended, "%s ended: %s", stop.node, stop.failure)},
			})
		}
		found = append(found, i.abortedBy(stop)...)
	}
	return found
}

func stopEvidence(stop gracefulStop) Evidence {
	return evidence(stop.requested, "%s with edge %s was requested to stop", stop.node, stop.edge)
}

func (i *index) gracefulStops() []gracefulStop {
	var stops []gracefulStop
	for _, event := range i.Events {
		switch event.Kind {
		case StopRequested:
			stops = append(stops, gracefulStop{node: event.Node, edge: event.Edge, requested: event.At})
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

func (i *index) abortedBy(stop gracefulStop) []Breach {
	var found []Breach
	for _, call := range i.Calls {
		if call.Edge != stop.edge {
			continue
		}
		for _, attempt := range call.Attempts {
			if !inFlightDuring(stop, attempt) || !aborted(attempt) {
				continue
			}
			found = append(found, Breach{
				Kind:      AbortedByStop,
				At:        attempt.End,
				Summary:   fmt.Sprintf("the graceful stop of %s aborted a %s", stop.node, call.Kind),
				RequestID: attempt.RequestID,
				Node:      stop.node,
				Evidence:  []Evidence{sent(call, attempt), stopEvidence(stop), ended(attempt)},
			})
		}
	}
	return found
}

// inFlightDuring reports whether the attempt was in flight at any time between
// the start of the stop and the exit of the process.
func inFlightDuring(stop gracefulStop, attempt load.Attempt) bool {
	if attempt.End.Before(stop.requested) {
		return false
	}
	return stop.ended.IsZero() || attempt.Start.Before(stop.ended)
}

// dialErrorPrefix is the prefix of the error of an attempt whose connection was
// never established and that therefore reached no node.
const dialErrorPrefix = "dial "

// aborted reports whether an attempt that reached a node got neither a response
// nor a refusal although its caller was still waiting.
func aborted(attempt load.Attempt) bool {
	switch attempt.Verdict {
	case load.VerdictError:
		return attempt.Status == 0 && !strings.HasPrefix(attempt.Error, dialErrorPrefix)
	case load.VerdictRefused:
		return attempt.Reason == problem.CallerGone
	}
	return false
}
