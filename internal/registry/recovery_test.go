package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/internal/targetrate"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// arrival is a message that a restarted node receives.
type arrival func(t *testing.T, r *Registrar)

func heartbeatArrives(heartbeat Heartbeat) arrival {
	return func(t *testing.T, r *Registrar) { assert.NilError(t, r.Heartbeat(t.Context(), heartbeat)) }
}

func noticeArrives(id string, startMillis int64) arrival {
	return func(t *testing.T, r *Registrar) { assert.NilError(t, r.Depart(t.Context(), id, startMillis)) }
}

func departureOfPeerArrives(incarnation string) arrival {
	return func(_ *testing.T, r *Registrar) {
		r.HandleDeparture(Departure{Instance: incarnation, Address: homeAddress})
	}
}

func storedDeparture(incarnation string) store.Entry {
	return store.Entry{Key: departuresPrefix + incarnation, Revision: 1, Value: encode(Departure{Instance: incarnation, Address: homeAddress})}
}

// storedRecord is the record that an earlier process of the node wrote.
func storedRecord(incarnation string, state State) store.Entry {
	return storedRecordWithRate(incarnation, state, nil)
}

func storedRecordWithRate(incarnation string, state State, rate *float64) store.Entry {
	record := Record{Instance: incarnation, Service: "s", Zone: "z", Address: homeAddress, Slots: 10, State: state, Process: 1, RateLimit: rate}
	return store.Entry{Key: homesPrefix + homeAddress, Revision: 2, Value: encode(record)}
}

// recordOfBackup is a record that a store has been restored with.
func recordOfBackup(incarnation string, state State) store.Entry {
	entry := storedRecord(incarnation, state)
	entry.Revision = store.NewRevision(1, 2)
	return entry
}

// recoveryOrder is a moment at which a restarted node recovers the stored state.
type recoveryOrder struct {
	// before is the number of arrivals before the recovery.
	before int
	// watched means that the node receives the entries as changes of the store before it recovers
	// them.
	watched bool
	// firstStart means that the cluster is new, so that the node uses its target before the recovery.
	firstStart bool
}

func recoveryOrders(arrivals int) []recoveryOrder {
	var orders []recoveryOrder
	for before := range arrivals + 1 {
		orders = append(orders, recoveryOrder{before: before}, recoveryOrder{before: before, watched: true}, recoveryOrder{before: before, firstStart: true})
	}
	return orders
}

// playRecovery returns the registrar of a restarted node after the arrivals and the recovery.
func playRecovery(t *testing.T, stored []store.Entry, arrivals []arrival, order recoveryOrder) *Registrar {
	t.Helper()
	kv := memory.New(time.Now)
	config := RegistrarConfig{Zone: "z", Address: homeAddress, Process: 2, HomesPrefix: homesPrefix, DeparturesPrefix: departuresPrefix}
	r := NewRegistrar(config, Stores{Record: kv, Departure: kv}, nil, time.Now)
	if order.firstStart {
		r.recoverFrom(nil)
	}
	if order.watched {
		r.ApplyChanges(stored)
	}
	for i, arrive := range arrivals {
		if i == order.before {
			r.recoverFrom(stored)
		}
		arrive(t, r)
	}
	if order.before == len(arrivals) {
		r.recoverFrom(stored)
	}
	return r
}

// TestRecoveryEndsAlikeInEachOrder guards against a target's state that depends on whether its
// heartbeats and notices arrive before or after a restarted node has recovered the stored state.
func TestRecoveryEndsAlikeInEachOrder(t *testing.T) {
	const none = ""
	cases := []struct {
		name     string
		stored   []store.Entry
		arrivals []arrival
		// target is the resulting target, which the node publishes with the state; the node has no
		// target and publishes nothing if it is none.
		target string
		state  State
	}{
		{"departed target still sends heartbeats", []store.Entry{storedDeparture("i@1")},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5))}, "i@1", Draining},
		{"departed target without a start time still sends heartbeats", []store.Entry{storedDeparture("i")},
			[]arrival{heartbeatArrives(readyHeartbeat("i", 5))}, "i", Draining},
		{"departed target sends heartbeats that say so", []store.Entry{storedDeparture("i@1")},
			[]arrival{heartbeatArrives(leavingHeartbeat("i", 1, 5))}, "i@1", Draining},
		{"departed target ends", []store.Entry{storedDeparture("i@1")},
			[]arrival{heartbeatArrives(leavingHeartbeat("i", 1, 5)), noticeArrives("i", 1)}, "i@1", Draining},
		{"departed target sends nothing", []store.Entry{storedDeparture("i@1")}, nil, none, Absent},
		{"departure was stored, but the record still says ready", []store.Entry{storedDeparture("i@1"), storedRecord("i@1", Ready)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5))}, "i@1", Draining},
		{"the same, the target sends nothing", []store.Entry{storedRecord("i@1", Ready), storedDeparture("i@1")}, nil, "i@1", Draining},
		{"departed target starts again", []store.Entry{storedDeparture("i@1"), storedRecord("i@1", Ready)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5)), heartbeatArrives(startedHeartbeat("i", 2, 1))}, "i@2", Ready},
		{"late heartbeat of the departed start", []store.Entry{storedDeparture("i@1")},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 2, 1)), heartbeatArrives(startedHeartbeat("i", 1, 5))}, "i@2", Ready},
		{"late heartbeat of a departed target beside its successor", []store.Entry{storedDeparture("i@1"), storedRecord("j@2", Ready)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5))}, "j@2", Ready},
		{"successor of a departed target", []store.Entry{storedDeparture("i@1"), storedRecord("i@1", Ready)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5)), heartbeatArrives(startedHeartbeat("j", 2, 1))}, "j@2", Ready},
		{"departure of a later start", []store.Entry{storedDeparture("i@2")},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5)), heartbeatArrives(startedHeartbeat("i", 2, 1))}, "i@2", Draining},
		{"departure of a later start than the record's", []store.Entry{storedDeparture("i@2"), storedRecord("i@1", Ready)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 2, 1))}, "i@2", Draining},
		{"peer reports the departure of a later start", nil,
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5)), departureOfPeerArrives("i@2"), heartbeatArrives(startedHeartbeat("i", 2, 1))}, "i@2", Draining},
		{"record says draining, departure is missing", []store.Entry{storedRecord("i@1", Draining)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5))}, "i@1", Draining},
		{"record says draining, target sends nothing", []store.Entry{storedRecord("i@1", Draining)}, nil, "i@1", Draining},
		{"record says draining, target starts again", []store.Entry{storedRecord("i@1", Draining)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 2, 1))}, "i@2", Ready},
		{"record of a backup says draining, departure is missing", []store.Entry{recordOfBackup("i@1", Draining)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5))}, "i@1", Draining},
		{"record of a backup", []store.Entry{recordOfBackup("i@1", Ready)}, nil, none, Absent},
		{"record of a backup says draining", []store.Entry{recordOfBackup("i@1", Draining)}, nil, none, Absent},
		{"record says draining, target is replaced", []store.Entry{storedRecord("i@1", Draining)},
			[]arrival{heartbeatArrives(startedHeartbeat("j", 2, 1))}, "j@2", Ready},
		{"entries of another writer name no target", []store.Entry{storedDeparture(""), storedRecord("", Draining)}, nil, none, Absent},
		{"running target", []store.Entry{storedRecord("i@1", Ready)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5))}, "i@1", Ready},
		{"running target sends nothing", []store.Entry{storedRecord("i@1", Ready)}, nil, "i@1", Ready},
		{"running target has started again", []store.Entry{storedRecord("i@1", Ready)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 2, 1))}, "i@2", Ready},
		{"late heartbeat of an earlier start", []store.Entry{storedRecord("i@2", Ready)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5))}, "i@2", Ready},
		{"running target leaves", []store.Entry{storedRecord("i@1", Ready)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5)), heartbeatArrives(leavingHeartbeat("i", 1, 6))}, "i@1", Draining},
		{"running target ends", []store.Entry{storedRecord("i@1", Ready)}, []arrival{noticeArrives("i", 1)}, "i@1", Draining},
		{"peer reports the departure", []store.Entry{storedRecord("i@1", Ready)},
			[]arrival{departureOfPeerArrives("i@1"), heartbeatArrives(startedHeartbeat("i", 1, 5))}, "i@1", Draining},
		{"peer reports the departure after a heartbeat", []store.Entry{storedRecord("i@1", Ready)},
			[]arrival{heartbeatArrives(startedHeartbeat("i", 1, 5)), departureOfPeerArrives("i@1")}, "i@1", Draining},
	}
	for _, c := range cases {
		for _, order := range recoveryOrders(len(c.arrivals)) {
			t.Run(fmt.Sprintf("%s/%+v", c.name, order), func(t *testing.T) {
				r := playRecovery(t, c.stored, c.arrivals, order)
				assertTarget(t, r, c.target, c.state)
			})
		}
	}
}

// assertTarget asserts the node's target and what the node publishes of it.
func assertTarget(t *testing.T, r *Registrar, incarnation string, state State) {
	t.Helper()
	target := r.Target()
	assert.Equal(t, target.Incarnation().String(), incarnation)
	assert.Equal(t, min(target.State, Draining), state)
	record := r.publisher.desiredRecord()
	if state == Absent {
		assert.Assert(t, record == nil, "a node without a target publishes nothing")
		return
	}
	assert.Assert(t, record != nil, "the state of the target is not published")
	assert.Equal(t, record.Instance, incarnation)
	assert.Equal(t, record.State, state)
}

// TestRecoveredRateLimitInEachOrder guards against a rate limit that is lost, or applied to a later
// start, depending on whether the target's heartbeat arrives before or after the recovery.
func TestRecoveredRateLimitInEachOrder(t *testing.T) {
	rate := 6.8
	limited := targetrate.Announcement{Limited: true, Rate: rate}
	stored := []store.Entry{storedRecordWithRate("i@1", Ready, &rate)}
	for start, expected := range map[int64]targetrate.Announcement{1: limited, 2: {}} {
		for _, order := range recoveryOrders(1) {
			r := playRecovery(t, stored, []arrival{heartbeatArrives(startedHeartbeat("i", start, 1))}, order)
			assert.Equal(t, r.Target().RateLimit, expected, "start %d, %+v", start, order)
		}
	}
}

// TestPeersLearnDepartureAfterNodeRestart guards against calls to a target that has left: its node
// ended after the departure was stored and before its record said so, and the next process published
// nothing, so that peers offered the target calls until the lease of the record expired.
func TestPeersLearnDepartureAfterNodeRestart(t *testing.T) {
	for _, heartbeats := range []bool{true, false} {
		virtualtime.Run(t, func(t *testing.T) {
			f := newTestFleet(t)
			nodes := f.startHomes()
			defer func() { f.stopAll(nodes...) }()
			nodes[0].stop()
			departure := Departure{Instance: startedHeartbeat("i-0", 1000, 2).Incarnation().String(), Address: "10.0.0.1:8300"}
			_, err := f.kv.CompareAndSwap(t.Context(), departuresPrefix+departure.Instance, 0, encode(departure), store.NoLease)
			assert.NilError(t, err)
			nodes[0] = f.start(1)
			start := time.Now()
			for len(nodes[1].directory.Homes("s")) > 2 {
				assert.Assert(t, time.Since(start) < 2*time.Minute)
				time.Sleep(500 * time.Millisecond)
				if heartbeats {
					assert.NilError(t, nodes[0].Heartbeat(t.Context(), startedHeartbeat("i-0", 1000, 3)))
				}
			}
			assert.Assert(t, time.Since(start) <= maxReadyDelay, "peers offered the departed target for %s", time.Since(start))
			time.Sleep(time.Minute)
			for _, n := range nodes {
				assert.Equal(t, len(n.directory.Addresses()), 3, "a node whose target leaves is still a member")
			}
		})
	}
}

// TestTargetEndsWithDepartureOfLaterStart guards against calls under the name of a start that has
// ended: the departure of a later one was recovered or reported, and the earlier one stayed ready.
func TestTargetEndsWithDepartureOfLaterStart(t *testing.T) {
	late := heartbeatArrives(startedHeartbeat("i", 1, 5))
	for _, order := range recoveryOrders(1) {
		r := playRecovery(t, []store.Entry{storedDeparture("i@2")}, []arrival{late}, order)
		assert.Assert(t, r.Target().State != Ready, "%+v", order)
	}
	for _, notice := range []arrival{departureOfPeerArrives("i@2"), noticeArrives("i", 2)} {
		r := playRecovery(t, nil, []arrival{late, notice}, recoveryOrder{})
		assert.Equal(t, r.Target().State, Gone)
	}
}

// TestRecoveredDrainingRecordBecomesDeparture guards against a departure that only the node's own
// record still shows: with that record it would be lost.
func TestRecoveredDrainingRecordBecomesDeparture(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newTestFleet(t)
		nodes := f.startHomes()
		defer func() { f.stopAll(nodes...) }()
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), leavingHeartbeat("i-0", 1000, 3)))
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			n.stop()
		}
		key := departuresPrefix + leavingHeartbeat("i-0", 1000, 3).Incarnation().String()
		departure, err := f.kv.Get(t.Context(), key)
		assert.NilError(t, err)
		_, err = f.kv.CompareAndDelete(t.Context(), key, departure.Revision)
		assert.NilError(t, err)
		for i := range nodes {
			nodes[i] = f.start(i + 1)
		}
		time.Sleep(3 * time.Second)
		assert.NilError(t, nodes[0].Heartbeat(t.Context(), startedHeartbeat("i-0", 1000, 4)))
		assert.Equal(t, nodes[0].Target().State, Draining)
		assert.Assert(t, f.present(key), "the departure is not stored")
	})
}

// TestLateNoticeNamesNoLaterStart guards against the loss of a running target: a notice without a start
// time, sent by a start that was leaving, arrived after its successor's heartbeat and was taken for the
// successor's. Whether it was depended on the order in which the departure was learned.
func TestLateNoticeNamesNoLaterStart(t *testing.T) {
	leaving := heartbeatArrives(leavingHeartbeat("i", 1, 5))
	announcement := func(t *testing.T, r *Registrar) {
		r.TargetLeaving(t.Context(), Incarnation{ID: "i", StartMillis: 1})
	}
	successor := heartbeatArrives(startedHeartbeat("i", 2, 1))
	cases := []struct {
		name     string
		stored   []store.Entry
		arrivals []arrival
	}{
		{"heartbeat", nil, []arrival{leaving, successor}},
		{"announcement", nil, []arrival{heartbeatArrives(startedHeartbeat("i", 1, 4)), announcement, successor}},
		{"announcement, then heartbeat", nil, []arrival{heartbeatArrives(startedHeartbeat("i", 1, 4)), announcement, leaving, successor}},
		{"heartbeat, stored departure", []store.Entry{storedDeparture("i@1")}, []arrival{leaving, successor}},
		{"heartbeat, stored record", []store.Entry{storedRecord("i@1", Draining)}, []arrival{leaving, successor}},
	}
	for _, c := range cases {
		for _, order := range recoveryOrders(len(c.arrivals)) {
			t.Run(fmt.Sprintf("%s/%+v", c.name, order), func(t *testing.T) {
				r := playRecovery(t, c.stored, c.arrivals, order)
				assert.ErrorIs(t, r.Depart(t.Context(), "i", 0), errAmbiguousIncarnation)
				assertTarget(t, r, "i@2", Ready)
			})
		}
	}
}

// TestLateHeartbeatOfEndedStartIsNoAnnouncement guards against a refused notice of a running target
// because a heartbeat of its predecessor, which has ended, arrived late.
func TestLateHeartbeatOfEndedStartIsNoAnnouncement(t *testing.T) {
	ended := []arrival{heartbeatArrives(leavingHeartbeat("i", 1, 5)), noticeArrives("i", 1), heartbeatArrives(leavingHeartbeat("i", 1, 4))}
	r := playRecovery(t, nil, ended, recoveryOrder{})
	assert.NilError(t, r.Heartbeat(t.Context(), startedHeartbeat("i", 2, 1)))
	assert.NilError(t, r.Depart(t.Context(), "i", 0))
	assertTarget(t, r, "i@2", Draining)
}
