package judge

import (
	"fmt"
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/resource"
)

// eventsByTime returns the events sorted by time.
func (i *index) eventsByTime() []Event {
	events := slices.Clone(i.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events
}

func changeEvidence(change Event) Evidence {
	return evidence(change.At, "revision %d of %s was accepted by %s (change %s)", change.Revision, change.Object, change.Node, change.ChangeID)
}

func observationEvidence(observed Event) Evidence {
	return evidence(observed.At, "%s reported revision %d of %s, queried at %s",
		observed.Node, observed.Revision, observed.Object, observed.QueriedAt.Format(time.RFC3339Nano))
}

// missedChange identifies a change that a node had not applied in time.
type missedChange struct {
	node, object string
	revision     int64
}

// checkChangesInEffect finds accepted changes that a node did not report
// although it was connected for the whole ConfigurationAllowance. Each change
// counts at most once for each node.
func checkChangesInEffect(i *index) []Breach {
	nodes := newConnections()
	accepted := map[string][]Event{}
	reported := map[missedChange]bool{}
	var found []Breach
	for _, event := range i.eventsByTime() {
		nodes.apply(event)
		switch event.Kind {
		case ChangeAccepted:
			accepted[event.Object] = append(accepted[event.Object], event)
		case RevisionObserved:
			since, connected := nodes.connectedSince(event.Node)
			if !connected {
				continue
			}
			for _, change := range accepted[event.Object] {
				due := latest(change.At, since).Add(i.Settings.ConfigurationAllowance)
				key := missedChange{event.Node, event.Object, change.Revision}
				if event.Revision >= change.Revision || event.QueriedAt.Before(due) || reported[key] {
					continue
				}
				reported[key] = true
				found = append(found, i.changeNotInEffect(change, event))
			}
		}
	}
	return found
}

func (i *index) changeNotInEffect(change, observed Event) Breach {
	return Breach{
		Kind: ChangeNotInEffect,
		At:   observed.At,
		Summary: fmt.Sprintf("%s still reported revision %d of %s %s after revision %d was accepted",
			observed.Node, observed.Revision, observed.Object, observed.QueriedAt.Sub(change.At).Round(time.Millisecond), change.Revision),
		Node:     observed.Node,
		Evidence: []Evidence{changeEvidence(change), observationEvidence(observed)},
	}
}

// nodeObject identifies an object at a node.
type nodeObject struct{ node, object string }

// checkRevisionOrder finds nodes that reported an older revision of an object
// after a newer one, including across a restart.
func checkRevisionOrder(i *index) []Breach {
	newest := map[nodeObject]Event{}
	var found []Breach
	for _, event := range i.eventsByTime() {
		if event.Kind != RevisionObserved {
			continue
		}
		key := nodeObject{event.Node, event.Object}
		previous, known := newest[key]
		if !known || event.Revision >= previous.Revision {
			newest[key] = event
			continue
		}
		found = append(found, Breach{
			Kind:     RevisionReverted,
			At:       event.At,
			Summary:  fmt.Sprintf("%s reverted from revision %d to %d of %s", event.Node, previous.Revision, event.Revision, event.Object),
			Node:     event.Node,
			Evidence: append([]Evidence{observationEvidence(previous), observationEvidence(event)}, i.restarts(event.Node, previous.At, event.At)...),
		})
		newest[key] = event
	}
	return found
}

// restarts returns the starts of a node between two times.
func (i *index) restarts(node string, from, until time.Time) []Evidence {
	var starts []Evidence
	for _, event := range i.Events {
		if event.Kind == NodeStarted && event.Node == node && event.At.After(from) && event.At.Before(until) {
			starts = append(starts, evidence(event.At, "%s was started", node))
		}
	}
	return starts
}

// checkHistory compares the outcomes reported to operators with the change
// histories that the nodes hold at the end of the run.
func checkHistory(i *index) []Breach {
	histories := map[nodeObject][]Event{}
	for _, event := range i.Events {
		if event.Kind == HistoryEntry {
			key := nodeObject{event.Node, event.Object}
			histories[key] = append(histories[key], event)
		}
	}
	var found []Breach
	for _, outcome := range i.eventsByTime() {
		for key, entries := range histories {
			if key.object != outcome.Object {
				continue
			}
			if summary := contradiction(outcome, entries); summary != "" {
				found = append(found, Breach{
					Kind:     HistoryMismatch,
					At:       outcome.At,
					Summary:  summary,
					Node:     key.node,
					Evidence: []Evidence{evidence(outcome.At, "change %s of %s: %s", outcome.ChangeID, outcome.Object, outcome.Kind), historyEvidence(key, entries)},
				})
				break
			}
		}
	}
	return found
}

func historyEvidence(key nodeObject, entries []Event) Evidence {
	newest := slices.MaxFunc(entries, byRevision)
	return evidence(newest.At, "%s has %d changes of %s in its history, the newest being %s at revision %d", key.node, len(entries), key.object, newest.ChangeID, newest.Revision)
}

func byRevision(a, b Event) int { return int(a.Revision - b.Revision) }

// contradiction describes how the history contradicts the outcome reported to
// the operator. It returns an empty string if there is no contradiction.
func contradiction(outcome Event, entries []Event) string {
	inHistory := slices.ContainsFunc(entries, func(entry Event) bool { return entry.ChangeID == outcome.ChangeID })
	switch {
	case outcome.Kind == ChangeRefused && inHistory:
		return fmt.Sprintf("the refused change %s of %s took effect", outcome.ChangeID, outcome.Object)
	case outcome.Kind == ChangeAccepted && !inHistory && historyCovers(entries, outcome.Revision):
		return fmt.Sprintf("the accepted change %s of %s is not in the history", outcome.ChangeID, outcome.Object)
	}
	return ""
}

// historyCovers reports whether a history goes back far enough to include a
// revision. A history shorter than resource.HistoryLength is complete.
func historyCovers(entries []Event, revision int64) bool {
	if len(entries) < resource.HistoryLength {
		return true
	}
	return slices.MinFunc(entries, byRevision).Revision <= revision
}
