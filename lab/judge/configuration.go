package judge

import (
	"fmt"
	"slices"
	"time"

	"github.com/lugspur/lugspur/internal/resource"
)

// ordered returns the events in the order of time.
func (i *index) ordered() []Event {
	events := slices.Clone(i.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events
}

func changeEvidence(change Event) Evidence {
	return evidence(change.At, "revision %d of %s was accepted at %s (change %s)", change.Revision, change.Object, change.Node, change.ChangeID)
}

func observationEvidence(observed Event) Evidence {
	return evidence(observed.At, "%s showed revision %d of %s, asked at %s",
		observed.Node, observed.Revision, observed.Object, observed.Asked.Format(time.RFC3339Nano))
}

// missed is a change that a node did not have in time.
type missed struct {
	node, object string
	revision     int64
}

// checkInForce looks for accepted changes that a node did not show although it
// was connected for the whole time allowed. Each change counts once a node.
func checkInForce(i *index) []Breach {
	nodes := newConnections()
	accepted := map[string][]Event{}
	reported := map[missed]bool{}
	var found []Breach
	for _, event := range i.ordered() {
		nodes.apply(event)
		switch event.Kind {
		case ChangeAccepted:
			accepted[event.Object] = append(accepted[event.Object], event)
		case Observed:
			since, connected := nodes.since(event.Node)
			if !connected {
				continue
			}
			for _, change := range accepted[event.Object] {
				due := latest(change.At, since).Add(i.Settings.ConfigurationAllowance)
				key := missed{event.Node, event.Object, change.Revision}
				if event.Revision >= change.Revision || event.Asked.Before(due) || reported[key] {
					continue
				}
				reported[key] = true
				found = append(found, i.notInForce(change, event))
			}
		}
	}
	return found
}

func (i *index) notInForce(change, observed Event) Breach {
	return Breach{
		Kind: ChangeNotInForce,
		At:   observed.At,
		Summary: fmt.Sprintf("%s still showed revision %d of %s %s after revision %d was accepted",
			observed.Node, observed.Revision, observed.Object, observed.Asked.Sub(change.At).Round(time.Millisecond), change.Revision),
		Node:     observed.Node,
		Evidence: []Evidence{changeEvidence(change), observationEvidence(observed)},
	}
}

// shown names an object at a node.
type shown struct{ node, object string }

// checkReversal looks for nodes that showed an older revision of an object
// after a newer one, also after a restart.
func checkReversal(i *index) []Breach {
	newest := map[shown]Event{}
	var found []Breach
	for _, event := range i.ordered() {
		if event.Kind != Observed {
			continue
		}
		key := shown{event.Node, event.Object}
		before, known := newest[key]
		if !known || event.Revision >= before.Revision {
			newest[key] = event
			continue
		}
		found = append(found, Breach{
			Kind:     RevisionReverted,
			At:       event.At,
			Summary:  fmt.Sprintf("%s went back from revision %d to %d of %s", event.Node, before.Revision, event.Revision, event.Object),
			Node:     event.Node,
			Evidence: append([]Evidence{observationEvidence(before), observationEvidence(event)}, i.restarts(event.Node, before.At, event.At)...),
		})
		newest[key] = event
	}
	return found
}

// restarts returns the starts of a node in a time.
func (i *index) restarts(node string, from, until time.Time) []Evidence {
	var starts []Evidence
	for _, event := range i.Events {
		if event.Kind == NodeStarted && event.Node == node && event.At.After(from) && event.At.Before(until) {
			starts = append(starts, evidence(event.At, "%s was started", node))
		}
	}
	return starts
}

// checkHistory compares what operators were told with the histories that nodes
// hold at the end.
func checkHistory(i *index) []Breach {
	histories := map[shown][]Event{}
	for _, event := range i.Events {
		if event.Kind == HistoryEntry {
			key := shown{event.Node, event.Object}
			histories[key] = append(histories[key], event)
		}
	}
	var found []Breach
	for _, told := range i.ordered() {
		for key, entries := range histories {
			if key.object != told.Object {
				continue
			}
			if summary := contradiction(told, entries); summary != "" {
				found = append(found, Breach{
					Kind:     ChangeLost,
					At:       told.At,
					Summary:  summary,
					Node:     key.node,
					Evidence: []Evidence{evidence(told.At, "change %s of %s: %s", told.ChangeID, told.Object, told.Kind), historyEvidence(key, entries)},
				})
				break
			}
		}
	}
	return found
}

func historyEvidence(key shown, entries []Event) Evidence {
	newest := slices.MaxFunc(entries, byRevision)
	return evidence(newest.At, "%s holds %d changes of %s, the newest is %s at revision %d", key.node, len(entries), key.object, newest.ChangeID, newest.Revision)
}

func byRevision(a, b Event) int { return int(a.Revision - b.Revision) }

// contradiction says how the history contradicts what an operator was told.
func contradiction(told Event, entries []Event) string {
	holds := slices.ContainsFunc(entries, func(entry Event) bool { return entry.ChangeID == told.ChangeID })
	switch {
	case told.Kind == ChangeRefused && holds:
		return fmt.Sprintf("the refused change %s of %s took effect", told.ChangeID, told.Object)
	case told.Kind == ChangeAccepted && !holds && reachesBack(entries, told.Revision):
		return fmt.Sprintf("the accepted change %s of %s is not in the history", told.ChangeID, told.Object)
	}
	return ""
}

// reachesBack reports whether the history is long enough to hold a revision.
func reachesBack(entries []Event, revision int64) bool {
	if len(entries) < resource.HistoryLength {
		return true
	}
	return slices.MinFunc(entries, byRevision).Revision <= revision
}
