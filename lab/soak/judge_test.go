package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }

// judged builds a run of one machine by hand.
type judged struct {
	recorder *recorder
	machine  *machine
	target   *platformstub.Target
	runs     []platformstub.Run
}

func newJudged() *judged {
	target := &platformstub.Target{ID: "i-1", Service: "alpha"}
	m := &machine{name: "machine-0", service: "alpha", targets: []*platformstub.Target{target}}
	j := &judged{recorder: newRecorder(), machine: m, target: target}
	j.recorder.versions = []acknowledgedVersion{{version: 1, sent: at(-10), at: at(-10)}}
	return j
}

// answered adds a request that a target ran and whose answer is whole.
func (j *judged) answered(id string, sent float64) *Request {
	j.runs = append(j.runs, platformstub.Run{ID: id, Path: "/once/alpha/x", Method: "POST", Caller: "alpha", Remaining: time.Second, At: at(sent)})
	j.recorder.requests = append(j.recorder.requests, Request{ID: id, Method: "POST", Path: "/once/alpha/x", Deadline: 2 * time.Second, Sent: at(sent),
		Ended: at(sent + 0.1), Connected: true, Status: 200, Signature: "s", Body: "alpha POST " + id})
	return &j.recorder.requests[len(j.recorder.requests)-1]
}

func (j *judged) promises() []Promise {
	j.target.Replay(j.runs)
	var promises []Promise
	for _, breach := range judge(j.recorder, []*machine{j.machine}, at(-1)) {
		promises = append(promises, breach.Promise)
	}
	return promises
}

func TestAGoodRunBreaksNothing(t *testing.T) {
	j := newJudged()
	j.answered("a", 10)
	assert.Equal(t, len(j.promises()), 0)
}

func TestEachBreachIsFound(t *testing.T) {
	cases := []struct {
		name    string
		spoil   func(*judged, *Request)
		promise Promise
	}{
		{"no signature", func(_ *judged, r *Request) { r.Signature = "" }, WholeAnswers},
		{"another's body", func(_ *judged, r *Request) { r.Body = "alpha POST b" }, WholeAnswers},
		{"another's answer", func(_ *judged, r *Request) { r.Failure = "answer to b" }, WholeAnswers},
		{"ran twice", func(j *judged, _ *Request) { j.runs = append(j.runs, j.runs[0]) }, AtMostOnce},
		{"refused and ran", func(_ *judged, r *Request) { r.Status = 503 }, NotRun},
		{"unknown id", func(j *judged, _ *Request) { j.runs = append(j.runs, platformstub.Run{ID: "z"}) }, OnlyAsked},
		{"other path", func(j *judged, _ *Request) { j.runs[0].Path = "/once/alpha/y" }, OnlyAsked},
		{"other caller", func(j *judged, _ *Request) { j.runs[0].Caller = "beta" }, OnlyAsked},
		{"other service", func(j *judged, _ *Request) { j.target.Service = "beta" }, OnlyAsked},
		{"no deadline", func(j *judged, _ *Request) { j.runs[0].Remaining = -1 }, InTime},
		{"longer deadline", func(j *judged, _ *Request) { j.runs[0].Remaining = 3 * time.Second }, InTime},
		{"late answer", func(_ *judged, r *Request) { r.Ended = r.Sent.Add(3 * time.Second) }, InTime},
		{"cut off", func(_ *judged, r *Request) { r.Status = 0 }, NoCuts},
		{"new work after the leave", func(j *judged, _ *Request) {
			j.recorder.drains = append(j.recorder.drains, acknowledgedDrain{target: "i-1@0", at: at(7)})
		}, NoWorkLeaving},
		{"version not in force", func(j *judged, r *Request) {
			j.recorder.versions = append(j.recorder.versions, acknowledgedVersion{version: 3, sent: at(5), at: at(5)})
			r.Version, r.Status = 3, 404
		}, InForce},
		{"old version in force", func(j *judged, r *Request) {
			j.recorder.versions = append(j.recorder.versions, acknowledgedVersion{version: 4, sent: at(5), at: at(5)})
			r.Version, r.Path, j.runs[0].Path, j.target.Service = 2, "/version/2/x", "/version/2/x", "alpha"
		}, InForce},
		{"tenant not told", func(_ *judged, r *Request) { r.Tenant = steadyTenant }, OwnTenant},
		{"another tenant", func(j *judged, r *Request) { r.Tenant, j.runs[0].Tenant = steadyTenant, limitedTenant }, OwnTenant},
		{"forged tenant", func(j *judged, _ *Request) { j.runs[0].Tenant = "forged" }, OwnTenant},
		{"key told", func(j *judged, _ *Request) { j.runs[0].Key = steadyKey }, OwnTenant},
		{"key taken away", func(j *judged, r *Request) {
			j.recorder.versions = append(j.recorder.versions, acknowledgedVersion{version: 2, sent: at(4), at: at(4)})
			r.Tenant, r.KeyVersion, j.runs[0].Tenant = rotatingTenant, 1, rotatingTenant
		}, KeysEnd},
		{"held key turned away", func(_ *judged, r *Request) { r.Tenant, r.Status = steadyTenant, 401 }, KeysWork},
		{"new key not in force", func(j *judged, r *Request) {
			j.recorder.versions = append(j.recorder.versions, acknowledgedVersion{version: 2, sent: at(7), at: at(7)})
			r.Tenant, r.KeyVersion, r.Status = rotatingTenant, 2, 401
		}, KeysWork},
		{"limit passed", func(j *judged, _ *Request) {
			for n := range 80 {
				id := fmt.Sprint("limited-", n)
				j.answered(id, 10+float64(n)/20).Tenant = limitedTenant
				j.runs[len(j.runs)-1].Tenant = limitedTenant
			}
		}, WithinLimits},
		{"ended by itself", func(j *judged, _ *Request) { j.recorder.endedByItself("x") }, Lives},
		{"not served at the end", func(_ *judged, r *Request) { r.Status = 504 }, Recovers},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := newJudged()
			r := j.answered("a", 10)
			c.spoil(j, r)
			found := j.promises()
			assert.Assert(t, len(found) > 0)
			assert.Equal(t, found[0], c.promise, "%v", found)
		})
	}
}

func TestDisturbancesExcuseWhatTheyMay(t *testing.T) {
	j := newJudged()
	r := j.answered("a", 10)
	r.Status = 0
	r.Failure = "reset"
	cases := []struct {
		name   string
		struck disturbance
		broken bool
	}{
		{"shortly before", disturbance{machine: 0, from: at(6), to: at(7.5)}, false},
		{"planned work", disturbance{machine: 0, planned: true, from: at(6), to: at(7.5)}, true},
		{"long ago", disturbance{machine: 0, from: at(1), to: at(6)}, true},
		{"another machine", disturbance{machine: 1, from: at(6), to: at(20)}, true},
		{"the store, still going on", disturbance{machine: everyMachine, from: at(1)}, false},
	}
	for _, c := range cases {
		j.recorder.disturbances = []disturbance{c.struck}
		assert.Equal(t, contains(j.promises(), NoCuts), c.broken, c.name)
	}
}

func TestARegressionIsFoundWithinOneLife(t *testing.T) {
	j := newJudged()
	j.recorder.versions = append(j.recorder.versions, acknowledgedVersion{version: 2, sent: at(9.9), at: at(9.9)})
	for _, each := range []struct {
		id      string
		version int
		sent    float64
	}{{"a", 2, 10}, {"b", 1, 10.5}} {
		r := j.answered(each.id, each.sent)
		r.Version = each.version
	}
	found := j.promises()
	assert.Assert(t, contains(found, NeverOlder), "%v", found)
	j.recorder.requests[1].Life = 1
	assert.Assert(t, !contains(j.promises(), NeverOlder))
}

// TestADeadlyRequestThatGoesOnIsFound has a request end three targets and reach others
// later: at once, which nothing can prevent, and once the nodes had time to learn.
func TestADeadlyRequestThatGoesOnIsFound(t *testing.T) {
	cases := []struct {
		name   string
		later  []float64
		struck []disturbance
		broken bool
	}{
		{"at once", []float64{10.4, 10.5, 10.6, 11, 12, 13}, nil, false},
		{"three times later", []float64{14, 15, 16}, nil, false},
		{"four times later", []float64{14, 15, 16, 17}, nil, true},
		{"four times later, by machines that were struck", []float64{14, 15, 16, 17}, []disturbance{{machine: 0, from: at(13), to: at(17)}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := newJudged()
			j.recorder.disturbances = c.struck
			for number, sent := range append([]float64{10, 10.1, 10.2}, c.later...) {
				r := j.answered(fmt.Sprint(number), sent)
				r.Deadly, r.Method, r.Path = true, "GET", deadlyPath("alpha")
				j.runs[number].Method, j.runs[number].Path = r.Method, r.Path
			}
			found := j.promises()
			assert.Equal(t, contains(found, FewEnds), c.broken, "%v", found)
		})
	}
}

func contains(promises []Promise, wanted Promise) bool {
	for _, promise := range promises {
		if promise == wanted {
			return true
		}
	}
	return false
}

func TestAScheduleFollowsItsSeed(t *testing.T) {
	first, second := NewSchedule(7, 6, time.Minute), NewSchedule(7, 6, time.Minute)
	assert.DeepEqual(t, first, second)
	assert.Assert(t, len(first) > 20)
	other := NewSchedule(8, 6, time.Minute)
	assert.Assert(t, first[0] != other[0])
	for _, kind := range kinds {
		_, link := linkFaults[kind]
		_, target := targetFaults[kind]
		_, store := storeFaults[kind]
		switch kind {
		case Kill, KillAll, Freeze, Terminate, TargetReplaced, DeadlyRequest, Drain, DrainAndKill, Configure, ConfigureAndKill:
		default:
			assert.Assert(t, link || target || store, "nothing carries out %s", kind)
		}
	}
}
