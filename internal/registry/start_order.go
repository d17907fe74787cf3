package registry

import (
	"slices"
	"time"
)

// The starts of a target are ordered by its start times as long as its clock advances. A start whose
// time is lower than that of a known one is either an earlier start, of which a message was delayed,
// or a later one after the clock was stepped back. Only the running start keeps sending messages, so
// the one that does while the other is silent is the latest, whatever the times say.

const (
	// reinstateAfter is how long a start that seems to have ended must send messages, while the
	// current target sends none, to replace it. Heartbeats of a crashed target that were delayed
	// by a network partition arrive in a burst shorter than that; a live target sends one every
	// second or two.
	reinstateAfter = time.Second
	// reinstateAfterDeparture replaces reinstateAfter if the current target or the latest start has
	// departed: it may keep serving for some seconds without sending messages.
	reinstateAfterDeparture = 10 * time.Second
	// maxMessageGap is the longest time between two messages that count as consecutive.
	maxMessageGap = 5 * time.Second
)

// returningTarget is a start that seems to have ended and sends messages again.
type returningTarget struct {
	incarnation   Incarnation
	since, latest time.Time
}

// recordStart records an incarnation; all earlier ones with its ID have ended.
func (r *Registrar) recordStart(incarnation Incarnation) {
	if !r.ended[incarnation] {
		r.latestStart[incarnation.ID] = max(r.latestStart[incarnation.ID], incarnation.StartMillis)
	}
}

// superseded reports whether a later incarnation with the same ID is known. Messages of
// superseded incarnations are ignored, however late they arrive.
func (r *Registrar) superseded(incarnation Incarnation) bool {
	return r.ended[incarnation] || incarnation.StartMillis < r.latestStart[incarnation.ID]
}

// precedes reports whether one of two starts with the same ID is known to be the earlier one.
func (r *Registrar) precedes(earlier, later Incarnation) bool {
	if r.ended[earlier] != r.ended[later] {
		return r.ended[earlier]
	}
	return earlier.StartMillis < later.StartMillis
}

// hasReturned records a message of an incarnation that seems to have ended, and reports whether it
// is still running. Its apparent successor was then an earlier start, or no start of the target.
func (r *Registrar) hasReturned(incarnation Incarnation) bool {
	now := r.now()
	if r.returning.incarnation != incarnation || now.Sub(r.returning.latest) > maxMessageGap {
		r.returning = returningTarget{incarnation: incarnation, since: now}
	}
	r.returning.latest = now
	r.ignored[incarnation] = true
	required := reinstateAfter
	latest := Incarnation{ID: incarnation.ID, StartMillis: r.latestStart[incarnation.ID]}
	current := r.target.Incarnation()
	if (r.departed[current] && current.ID == incarnation.ID) || r.departed[latest] {
		required = reinstateAfterDeparture
	}
	return now.Sub(r.returning.since) >= required
}

// messageReceived records a message of an incarnation. One of the current target shows that no
// other is running.
func (r *Registrar) messageReceived(incarnation Incarnation) {
	if incarnation == r.target.Incarnation() && !r.superseded(incarnation) {
		r.returning = returningTarget{}
	}
}

// returningStart returns the start of a target ID that has sent the latest messages although it
// seems to have ended.
func (r *Registrar) returningStart(id string) (Incarnation, bool) {
	found := r.returning.incarnation.ID == id && r.superseded(r.returning.incarnation) && r.now().Sub(r.returning.latest) <= maxMessageGap
	return r.returning.incarnation, found
}

// maxEndedInRecord bounds the ended starts in a record.
const maxEndedInRecord = 16

// endedLater returns the start times, in order, of incarnations with the same ID that have ended
// although their start times are higher.
func (r *Registrar) endedLater(incarnation Incarnation) []int64 {
	var later []int64
	for ended := range r.ended {
		if ended.ID == incarnation.ID && ended.StartMillis > incarnation.StartMillis {
			later = append(later, ended.StartMillis)
		}
	}
	slices.Sort(later)
	return later[:min(len(later), maxEndedInRecord)]
}

// recoverOrder records that starts with the given times ended before an incarnation with the same ID.
func (r *Registrar) recoverOrder(incarnation Incarnation, ended []int64) {
	for _, startMillis := range ended {
		r.ended[Incarnation{ID: incarnation.ID, StartMillis: startMillis}] = true
	}
	latest := Incarnation{ID: incarnation.ID, StartMillis: r.latestStart[incarnation.ID]}
	if r.ended[latest] && !r.ended[incarnation] {
		r.latestStart[incarnation.ID] = incarnation.StartMillis
	}
}

// reinstate makes an incarnation the latest start of its ID.
func (r *Registrar) reinstate(incarnation Incarnation) {
	r.ended[Incarnation{ID: incarnation.ID, StartMillis: r.latestStart[incarnation.ID]}] = true
	for _, known := range []map[Incarnation]bool{r.departed, r.ignored} {
		for earlier := range known {
			if earlier.ID == incarnation.ID && earlier.StartMillis > incarnation.StartMillis {
				r.ended[earlier] = true
			}
		}
	}
	delete(r.ended, incarnation)
	r.latestStart[incarnation.ID] = incarnation.StartMillis
	if r.target.ID != incarnation.ID {
		return
	}
	if r.target.Incarnation() != incarnation {
		r.ended[r.target.Incarnation()] = true
	}
	r.target = Target{ID: incarnation.ID, StartMillis: incarnation.StartMillis, Service: r.target.Service, Slots: r.target.Slots, State: r.initialState(incarnation)}
	if r.target.State != Ready {
		r.notifyChange()
	}
}
