package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

// runBuilder builds the records of a run with one machine.
type runBuilder struct {
	recorder *recorder
	machine  *machine
	target   *platformstub.Target
	runs     []platformstub.Run
}

func newRunBuilder() *runBuilder {
	target := &platformstub.Target{ID: "i-1", Service: "alpha"}
	m := &machine{name: "machine-0", service: "alpha", targets: []*platformstub.Target{target}}
	j := &runBuilder{recorder: newRecorder(), machine: m, target: target}
	j.recorder.versions = []acknowledgedVersion{{version: 1, sent: at(-10), at: at(-10)}}
	return j
}

// addAnswered adds a request that ran once and got an intact response.
func (j *runBuilder) addAnswered(id string, sent float64) *Request {
	j.runs = append(j.runs, platformstub.Run{ID: id, Path: "/once/alpha/x", Method: "POST", Caller: "alpha", Remaining: time.Second, At: at(sent)})
	j.recorder.requests = append(j.recorder.requests, Request{ID: id, Method: "POST", Path: "/once/alpha/x", Deadline: 2 * time.Second, Sent: at(sent),
		Ended: at(sent + 0.1), Connected: true, Status: 200, Signature: "s", Body: "alpha POST " + id})
	return &j.recorder.requests[len(j.recorder.requests)-1]
}

func (j *runBuilder) violatedGuarantees() []Guarantee {
	j.target.SetLog(j.runs)
	var guarantees []Guarantee
	for _, breach := range judge(j.recorder, []*machine{j.machine}, at(-1)) {
		guarantees = append(guarantees, breach.Guarantee)
	}
	return guarantees
}

func TestCorrectRunHasNoBreaches(t *testing.T) {
	j := newRunBuilder()
	j.addAnswered("a", 10)
	assert.Equal(t, len(j.violatedGuarantees()), 0)
}

func TestBreachesAreDetected(t *testing.T) {
	cases := []struct {
		name      string
		modify    func(*runBuilder, *Request)
		guarantee Guarantee
	}{
		{"no signature", func(_ *runBuilder, r *Request) { r.Signature = "" }, IntactResponses},
		{"another request's body", func(_ *runBuilder, r *Request) { r.Body = "alpha POST b" }, IntactResponses},
		{"another request's response", func(_ *runBuilder, r *Request) { r.Failure = "answer to b" }, IntactResponses},
		{"ran twice", func(j *runBuilder, _ *Request) { j.runs = append(j.runs, j.runs[0]) }, AtMostOnce},
		{"refused and ran", func(_ *runBuilder, r *Request) { r.Status = 503 }, RefusedNotExecuted},
		{"unknown id", func(j *runBuilder, _ *Request) { j.runs = append(j.runs, platformstub.Run{ID: "z"}) }, OnlySentRequests},
		{"other path", func(j *runBuilder, _ *Request) { j.runs[0].Path = "/once/alpha/y" }, OnlySentRequests},
		{"other caller", func(j *runBuilder, _ *Request) { j.runs[0].Caller = "beta" }, OnlySentRequests},
		{"other service", func(j *runBuilder, _ *Request) { j.target.Service = "beta" }, OnlySentRequests},
		{"no deadline", func(j *runBuilder, _ *Request) { j.runs[0].Remaining = -1 }, DeadlinesKept},
		{"longer deadline", func(j *runBuilder, _ *Request) { j.runs[0].Remaining = 3 * time.Second }, DeadlinesKept},
		{"late response", func(_ *runBuilder, r *Request) { r.Ended = r.Sent.Add(3 * time.Second) }, DeadlinesKept},
		{"no response", func(_ *runBuilder, r *Request) { r.Status = 0 }, EveryRequestAnswered},
		{"new work after drain", func(j *runBuilder, _ *Request) {
			j.recorder.drains = append(j.recorder.drains, acknowledgedDrain{target: "i-1@0", at: at(7)})
		}, NoWorkAfterDrain},
		{"version not in force", func(j *runBuilder, r *Request) {
			j.recorder.versions = append(j.recorder.versions, acknowledgedVersion{version: 3, sent: at(5), at: at(5)})
			r.Version, r.Status = 3, 404
		}, ConfigurationInForce},
		{"old version in force", func(j *runBuilder, r *Request) {
			j.recorder.versions = append(j.recorder.versions, acknowledgedVersion{version: 4, sent: at(5), at: at(5)})
			r.Version, r.Path, j.runs[0].Path, j.target.Service = 2, "/version/2/x", "/version/2/x", "alpha"
		}, ConfigurationInForce},
		{"missing tenant", func(_ *runBuilder, r *Request) { r.Tenant = steadyTenant }, TenantIdentity},
		{"another tenant", func(j *runBuilder, r *Request) { r.Tenant, j.runs[0].Tenant = steadyTenant, limitedTenant }, TenantIdentity},
		{"forged tenant", func(j *runBuilder, _ *Request) { j.runs[0].Tenant = "forged" }, TenantIdentity},
		{"API key forwarded", func(j *runBuilder, _ *Request) { j.runs[0].Key = steadyKey }, TenantIdentity},
		{"revoked key works", func(j *runBuilder, r *Request) {
			j.recorder.versions = append(j.recorder.versions, acknowledgedVersion{version: 2, sent: at(4), at: at(4)})
			r.Tenant, r.KeyVersion, j.runs[0].Tenant = rotatingTenant, 1, rotatingTenant
		}, RevokedKeysRejected},
		{"valid key rejected", func(_ *runBuilder, r *Request) { r.Tenant, r.Status = steadyTenant, 401 }, ValidKeysAccepted},
		{"new key not in force", func(j *runBuilder, r *Request) {
			j.recorder.versions = append(j.recorder.versions, acknowledgedVersion{version: 2, sent: at(7), at: at(7)})
			r.Tenant, r.KeyVersion, r.Status = rotatingTenant, 2, 401
		}, ValidKeysAccepted},
		{"limit exceeded", func(j *runBuilder, _ *Request) {
			for n := range 80 {
				id := fmt.Sprint("limited-", n)
				j.addAnswered(id, 10+float64(n)/20).Tenant = limitedTenant
				j.runs[len(j.runs)-1].Tenant = limitedTenant
			}
		}, WithinLimits},
		{"unexpected exit", func(j *runBuilder, _ *Request) { j.recorder.addFailure("x") }, NoUnexpectedExit},
		{"not served at the end", func(_ *runBuilder, r *Request) { r.Status = 504 }, ServiceRecovers},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := newRunBuilder()
			r := j.addAnswered("a", 10)
			c.modify(j, r)
			found := j.violatedGuarantees()
			assert.Assert(t, len(found) > 0)
			assert.Equal(t, found[0], c.guarantee, "%v", found)
		})
	}
}

func TestDisturbancesExcuseBreaches(t *testing.T) {
	j := newRunBuilder()
	r := j.addAnswered("a", 10)
	r.Status = 0
	r.Failure = "reset"
	cases := []struct {
		name   string
		fault  disturbance
		broken bool
	}{
		{"shortly before", disturbance{machine: 0, from: at(6), to: at(7.5)}, false},
		{"planned work", disturbance{machine: 0, planned: true, from: at(6), to: at(7.5)}, true},
		{"long ago", disturbance{machine: 0, from: at(1), to: at(6)}, true},
		{"another machine", disturbance{machine: 1, from: at(6), to: at(20)}, true},
		{"the store, still going on", disturbance{machine: allMachines, from: at(1)}, false},
	}
	for _, c := range cases {
		j.recorder.disturbances = []disturbance{c.fault}
		assert.Equal(t, contains(j.violatedGuarantees(), EveryRequestAnswered), c.broken, c.name)
	}
}

func TestRollbackIsDetectedWithinIncarnation(t *testing.T) {
	j := newRunBuilder()
	j.recorder.versions = append(j.recorder.versions, acknowledgedVersion{version: 2, sent: at(9.9), at: at(9.9)})
	for _, c := range []struct {
		id      string
		version int
		sent    float64
	}{{"a", 2, 10}, {"b", 1, 10.5}} {
		r := j.addAnswered(c.id, c.sent)
		r.Version = c.version
	}
	found := j.violatedGuarantees()
	assert.Assert(t, contains(found, NoRollback), "%v", found)
	j.recorder.requests[1].Incarnation = 1
	assert.Assert(t, !contains(j.violatedGuarantees(), NoRollback))
}

// TestUncontainedCrashesAreDetected crashes three targets with a request that then
// reaches others: immediately, which can't be prevented, or after the nodes had time
// to detect the crashes.
func TestUncontainedCrashesAreDetected(t *testing.T) {
	cases := []struct {
		name   string
		later  []float64
		faults []disturbance
		broken bool
	}{
		{"at once", []float64{10.4, 10.5, 10.6, 11, 12, 13}, nil, false},
		{"three times later", []float64{14, 15, 16}, nil, false},
		{"four times later", []float64{14, 15, 16, 17}, nil, true},
		{"four times later, on disturbed machines", []float64{14, 15, 16, 17}, []disturbance{{machine: 0, from: at(13), to: at(17)}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := newRunBuilder()
			j.recorder.disturbances = c.faults
			for number, sent := range append([]float64{10, 10.1, 10.2}, c.later...) {
				r := j.addAnswered(fmt.Sprint(number), sent)
				r.CrashesTarget, r.Method, r.Path = true, "GET", crashPath("alpha")
				j.runs[number].Method, j.runs[number].Path = r.Method, r.Path
			}
			found := j.violatedGuarantees()
			assert.Equal(t, contains(found, CrashesContained), c.broken, "%v", found)
		})
	}
}

func contains(guarantees []Guarantee, guarantee Guarantee) bool {
	for _, other := range guarantees {
		if other == guarantee {
			return true
		}
	}
	return false
}

func TestScheduleIsDeterministicForSeed(t *testing.T) {
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
		case Kill, KillAll, Freeze, Terminate, TargetReplaced, CrashingRequest, Drain, DrainAndKill, Configure, ConfigureAndKill:
		default:
			assert.Assert(t, link || target || store, "no implementation of fault kind %s", kind)
		}
	}
}
