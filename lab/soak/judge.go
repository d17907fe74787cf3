package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lugspur/lugspur/lab/platformstub"
)

// Bounds of the guarantees, as the platform sets them.
const (
	// quietPeriod is how long a machine must have been undisturbed before
	// guarantees with a time bound are checked.
	quietPeriod = 3 * time.Second
	// applyBound is the maximum time from a version's acknowledgement until it is in force.
	applyBound = 2 * time.Second
	// rollbackSlack is how long older versions may still be observed after the first
	// effect of a version.
	rollbackSlack = 250 * time.Millisecond
	// drainBound is the time after which a draining target gets no new requests.
	drainBound = 2 * time.Second
	// deadlineSlack is how far a target's deadline may exceed the caller's.
	deadlineSlack = 10 * time.Millisecond
	// responseSlack is how long after the deadline a response may arrive.
	responseSlack = 500 * time.Millisecond
	// minServedShare is the minimum share of requests that succeed after recovery.
	minServedShare = 0.95
	// After crashThreshold targets have crashed under a request, it may reach at most
	// maxLateRuns more targets later than quietPeriod after the last of these crashes.
	crashThreshold = 3
	maxLateRuns    = 3
)

// Guarantee names a guarantee that a run is checked against.
type Guarantee string

// The guarantees. Their texts are written to the result file.
const (
	IntactResponses      Guarantee = "whole and own answers"
	AtMostOnce           Guarantee = "at most once"
	RefusedNotExecuted   Guarantee = "refused means not run"
	NoWorkAfterDrain     Guarantee = "a leaving target gets no new work"
	ConfigurationInForce Guarantee = "a configuration is in force within its time"
	NoRollback           Guarantee = "no older configuration"
	EveryRequestAnswered Guarantee = "every request gets an answer"
	OnlySentRequests     Guarantee = "only what was asked runs, where it may"
	DeadlinesKept        Guarantee = "deadlines are kept"
	ServiceRecovers      Guarantee = "service recovers"
	CrashesContained     Guarantee = "a request that ends its targets is stopped"
	NoUnexpectedExit     Guarantee = "no process ends by itself"
	MemoryBounded        Guarantee = "no process exceeds its memory"
	TenantIdentity       Guarantee = "targets are told the tenant and no key"
	RevokedKeysRejected  Guarantee = "a key that was taken away stops to work"
	ValidKeysAccepted    Guarantee = "a key that is held works"
	WithinLimits         Guarantee = "no tenant passes its limit"
	WithinTargetRate     Guarantee = "no target gets more than the rate that it announced"
)

// Breach is a violation of a guarantee.
type Breach struct {
	Guarantee Guarantee `json:"promise"`
	Request   string    `json:"request,omitempty"`
	Detail    string    `json:"detail"`
}

// judgement checks a run against the guarantees.
type judgement struct {
	recorder *recorder
	runs     map[string][]targetRun
	machines []*machine
	breaches []Breach
}

// targetRun is an execution of a request at a target.
type targetRun struct {
	platformstub.Run
	target *platformstub.Target
}

// judge returns all breaches. Requests sent after recovered show whether service
// has recovered.
func judge(recorder *recorder, machines []*machine, recovered time.Time) []Breach {
	j := &judgement{recorder: recorder, machines: machines, runs: make(map[string][]targetRun)}
	for _, m := range machines {
		for _, target := range m.targets {
			for _, run := range target.Log() {
				j.runs[run.ID] = append(j.runs[run.ID], targetRun{Run: run, target: target})
			}
		}
	}
	byID := make(map[string]*Request, len(recorder.requests))
	for index := range recorder.requests {
		request := &recorder.requests[index]
		byID[request.ID] = request
		j.judgeResponse(request)
		j.judgeCompletion(request)
		j.judgeVersion(request)
		j.judgeKey(request)
	}
	j.judgeRuns(byID)
	j.judgeTenants(byID)
	j.judgeDrains()
	j.judgeLeaving(byID)
	j.judgeRateLimits(byID)
	j.judgeRollbacks()
	j.judgeCrashes(byID)
	j.judgeRecovery(recovered)
	for _, detail := range recorder.memoryExceeded {
		j.addBreach(MemoryBounded, nil, "%s", detail)
	}
	for _, detail := range recorder.failures {
		j.addBreach(NoUnexpectedExit, nil, "%s", detail)
	}
	return j.breaches
}

func (j *judgement) addBreach(guarantee Guarantee, request *Request, format string, arguments ...any) {
	breach := Breach{Guarantee: guarantee, Detail: fmt.Sprintf(format, arguments...)}
	if request != nil {
		breach.Request = request.ID
		breach.Detail += fmt.Sprintf(" (%s %s at %s, sent %s, status %d %s)", request.Method, request.Path,
			j.machines[request.Machine].name, request.Sent.Format(time.StampMilli), request.Status, request.Failure)
	}
	j.breaches = append(j.breaches, breach)
}

// undisturbed reports whether no disturbance affected the machine in the interval
// that begins quietPeriod before from and ends at to. Planned disturbances count
// only with includePlanned.
func (j *judgement) undisturbed(machine int, from, to time.Time, includePlanned bool) bool {
	from = from.Add(-quietPeriod)
	for _, d := range j.recorder.disturbances {
		if d.machine != machine && d.machine != allMachines || d.planned && !includePlanned {
			continue
		}
		if d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return false
		}
	}
	return true
}

// judgeResponse checks that a response is intact and belongs to the request.
func (j *judgement) judgeResponse(r *Request) {
	switch {
	case strings.HasPrefix(r.Failure, "answer to "):
		j.addBreach(IntactResponses, r, "response to another request")
	case r.Status == 200 && r.Signature == "":
		j.addBreach(IntactResponses, r, "success without a signature")
	case r.Status == 200 && !strings.HasSuffix(r.Body, " "+r.ID):
		j.addBreach(IntactResponses, r, "body %q", r.Body)
	}
	if r.nonIdempotent() && (r.Status == 429 || r.Status == 503) && len(j.runs[r.ID]) > 0 {
		j.addBreach(RefusedNotExecuted, r, "it ran at %s", j.runs[r.ID][0].target.ID)
	}
}

// judgeCompletion checks that a request got a response no later than
// responseSlack after its deadline.
func (j *judgement) judgeCompletion(r *Request) {
	late := r.Ended.Sub(r.Sent) > r.Deadline+responseSlack
	if late && !r.Large && j.undisturbed(r.Machine, r.Sent, r.Ended, true) {
		j.addBreach(DeadlinesKept, r, "response after %s", r.Ended.Sub(r.Sent))
	}
	if r.Status != 0 || late || !r.Connected || r.Large {
		return
	}
	// A request may race with the close of an idle pooled connection if it did not run.
	raced := r.Reused && len(j.runs[r.ID]) == 0
	if !raced && j.undisturbed(r.Machine, r.Sent, r.Ended, false) {
		j.addBreach(EveryRequestAnswered, r, "the connection closed without a response")
	}
}

// judgeVersion checks that a request that only one version allows was handled by
// the version that must be in force.
func (j *judgement) judgeVersion(r *Request) {
	if r.Version == 0 || !j.undisturbed(r.Machine, r.Sent, r.Sent, true) {
		return
	}
	newest, next := j.versionsAt(r.Sent.Add(-applyBound), r.Ended)
	switch {
	case r.Version == newest && next == newest && r.Status == 404:
		j.addBreach(ConfigurationInForce, r, "version %d is not in force", newest)
	case r.Version < newest && r.Status == 200:
		j.addBreach(ConfigurationInForce, r, "version %d is still in force after version %d", r.Version, newest)
	}
}

// versionsAt returns the newest version acknowledged before the first time and the
// newest version sent before the second.
func (j *judgement) versionsAt(acknowledged, sent time.Time) (int, int) {
	newest, next := 1, 1
	for _, v := range j.recorder.versions {
		if v.at.Before(acknowledged) {
			newest = max(newest, v.version)
		}
		if v.sent.Before(sent) {
			next = max(next, v.version)
		}
	}
	return newest, next
}

// judgeRuns checks all executions at targets.
func (j *judgement) judgeRuns(byID map[string]*Request) {
	for id, runs := range j.runs {
		request := byID[id]
		if request == nil {
			j.addBreach(OnlySentRequests, nil, "%s ran %q, which no caller sent", runs[0].target.ID, id)
			continue
		}
		if request.nonIdempotent() && len(runs) > 1 {
			j.addBreach(AtMostOnce, request, "it ran %d times", len(runs))
		}
		for _, run := range runs {
			j.judgeRun(request, run)
		}
	}
}

func (j *judgement) judgeRun(request *Request, run targetRun) {
	service := serviceOf(request)
	switch {
	case run.Path != request.Path || run.Method != request.Method:
		j.addBreach(OnlySentRequests, request, "%s ran %s %s", run.target.ID, run.Method, run.Path)
	case run.target.Service != service:
		j.addBreach(OnlySentRequests, request, "service %s ran it", run.target.Service)
	case run.Caller != j.machines[request.Machine].service:
		j.addBreach(OnlySentRequests, request, "the target received caller %q", run.Caller)
	case run.Remaining < 0 || run.Remaining > request.Deadline+deadlineSlack:
		j.addBreach(DeadlinesKept, request, "the target received a deadline of %s", run.Remaining)
	}
}

// serviceOf returns the service that must handle a request.
func serviceOf(r *Request) string {
	if r.Version > 0 {
		return services[r.Version%len(services)]
	}
	return strings.Split(r.Path, "/")[2]
}

// judgeDrains checks that targets got no new requests later than drainBound after
// their drain was acknowledged.
func (j *judgement) judgeDrains() {
	for _, drained := range j.recorder.drains {
		bound := drained.at.Add(drainBound)
		for id, runs := range j.runs {
			for _, run := range runs {
				if incarnationID(run.target) == drained.target && run.At.After(bound) {
					j.addBreach(NoWorkAfterDrain, nil, "%s ran %s %s after its acknowledged drain", drained.target, id, run.At.Sub(drained.at))
				}
			}
		}
	}
}

// judgeRollbacks checks that no incarnation of a machine's process applies an older
// version after a newer one.
func (j *judgement) judgeRollbacks() {
	type incarnation struct{ machine, number int }
	byIncarnation := make(map[incarnation][]*Request)
	for index := range j.recorder.requests {
		r := &j.recorder.requests[index]
		if r.Version > 0 && r.Status == 200 {
			key := incarnation{r.Machine, r.Incarnation}
			byIncarnation[key] = append(byIncarnation[key], r)
		}
	}
	for _, requests := range byIncarnation {
		for _, newer := range requests {
			for _, older := range requests {
				if older.Version < newer.Version && older.Sent.After(newer.Ended.Add(rollbackSlack)) {
					j.addBreach(NoRollback, older, "version %d after version %d", older.Version, newer.Version)
				}
			}
		}
	}
}

// judgeRecovery checks that the share of served requests after the faults is at least minServedShare.
func (j *judgement) judgeRecovery(from time.Time) {
	served, total := 0, 0
	for index := range j.recorder.requests {
		r := &j.recorder.requests[index]
		otherTenant := r.Tenant != "" && r.Tenant != steadyTenant
		if r.Sent.Before(from) || r.Version > 0 || r.CrashesTarget || r.Large || otherTenant {
			continue
		}
		total++
		if r.Status == 200 {
			served++
		}
	}
	if total == 0 || float64(served) < minServedShare*float64(total) {
		j.addBreach(ServiceRecovers, nil, "%d of %d requests were served at the end", served, total)
	}
}

// crashingRun is an execution of a request that crashes its target.
type crashingRun struct {
	targetRun
	request *Request
	machine int
}

// judgeCrashes checks that requests that crash their target reach at most maxLateRuns
// targets once three have crashed and the nodes had time to detect this.
func (j *judgement) judgeCrashes(byID map[string]*Request) {
	byPath := make(map[string][]crashingRun)
	for id, runs := range j.runs {
		request := byID[id]
		if request == nil || !request.CrashesTarget {
			continue
		}
		for _, run := range runs {
			byPath[request.Path] = append(byPath[request.Path], crashingRun{targetRun: run, request: request, machine: j.machineOf(run.target)})
		}
	}
	for path, runs := range byPath {
		slices.SortFunc(runs, func(a, b crashingRun) int { return a.At.Compare(b.At) })
		late := j.lateRuns(runs)
		if len(late) > maxLateRuns {
			j.addBreach(CrashesContained, late[0].request, "%d runs of %s later than %s after the third, %d in all", len(late), path, quietPeriod, len(runs))
		}
	}
}

// lateRuns returns the executions on undisturbed machines that began later than
// quietPeriod after the third target had crashed.
func (j *judgement) lateRuns(runs []crashingRun) []crashingRun {
	if len(runs) < crashThreshold {
		return nil
	}
	third := runs[crashThreshold-1]
	from := third.At.Add(third.target.ServiceTime + quietPeriod)
	var late []crashingRun
	for _, run := range runs[crashThreshold:] {
		if run.At.After(from) && j.undisturbed(run.request.Machine, run.At, run.At, true) && j.undisturbed(run.machine, run.At, run.At, true) {
			late = append(late, run)
		}
	}
	return late
}

// machineOf returns the index of the machine that runs a target.
func (j *judgement) machineOf(target *platformstub.Target) int {
	return slices.IndexFunc(j.machines, func(m *machine) bool { return slices.Contains(m.targets, target) })
}
