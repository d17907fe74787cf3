package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lugspur/lugspur/lab/platformstub"
)

// Bounds within which the promises hold, as the platform sets them.
const (
	// contactTime is how long a machine must have been undisturbed for a promise
	// with a time bound.
	contactTime = 3 * time.Second
	// applyTime is within what a version is in force after its acknowledgement.
	applyTime = 2 * time.Second
	// rollbackSlack is how long after the first effect of a version older ones may
	// still show.
	rollbackSlack = 250 * time.Millisecond
	// drainBound is within what a target that leaves gets no more requests.
	drainBound = 2 * time.Second
	// deadlineSlack is how much longer than the caller's time a target's may be.
	deadlineSlack = 10 * time.Millisecond
	// answerSlack is how long after the deadline an answer may come.
	answerSlack = 500 * time.Millisecond
	// recoveredShare is the part of the requests that are served at the end.
	recoveredShare = 0.95
	// provingRuns is the number of targets that must have ended under a request, and
	// maxLateRuns that of those it may reach contactTime after the last of these.
	provingRuns = 3
	maxLateRuns = 3
)

// Promise names what a run is held against.
type Promise string

// The promises.
const (
	WholeAnswers  Promise = "whole and own answers"
	AtMostOnce    Promise = "at most once"
	NotRun        Promise = "refused means not run"
	NoWorkLeaving Promise = "a leaving target gets no new work"
	InForce       Promise = "a configuration is in force within its time"
	NeverOlder    Promise = "no older configuration"
	NoCuts        Promise = "every request gets an answer"
	OnlyAsked     Promise = "only what was asked runs, where it may"
	InTime        Promise = "deadlines are kept"
	Recovers      Promise = "service recovers"
	FewEnds       Promise = "a request that ends its targets is stopped"
	Lives         Promise = "no process ends by itself"
	OwnTenant     Promise = "targets are told the tenant and no key"
	KeysEnd       Promise = "a key that was taken away stops to work"
	KeysWork      Promise = "a key that is held works"
	WithinLimits  Promise = "no tenant passes its limit"
)

// Breach is a promise that was broken.
type Breach struct {
	Promise Promise `json:"promise"`
	Request string  `json:"request,omitempty"`
	Detail  string  `json:"detail"`
}

// judgement holds a run against the promises.
type judgement struct {
	recorder *recorder
	runs     map[string][]targetRun
	machines []*machine
	breaches []Breach
}

// targetRun is a request that a target ran.
type targetRun struct {
	platformstub.Run
	target *platformstub.Target
}

// judge returns every breach. Requests sent from recovered on show whether
// service has recovered.
func judge(recorder *recorder, machines []*machine, recovered time.Time) []Breach {
	j := &judgement{recorder: recorder, machines: machines, runs: make(map[string][]targetRun)}
	for _, m := range machines {
		for _, target := range m.targets {
			for _, run := range target.Log() {
				j.runs[run.ID] = append(j.runs[run.ID], targetRun{Run: run, target: target})
			}
		}
	}
	known := make(map[string]*Request, len(recorder.requests))
	for index := range recorder.requests {
		request := &recorder.requests[index]
		known[request.ID] = request
		j.judgeAnswer(request)
		j.judgeConnection(request)
		j.judgeVersion(request)
		j.judgeKey(request)
	}
	j.judgeRuns(known)
	j.judgeTenants(known)
	j.judgeDrains()
	j.judgeRegressions()
	j.judgeDeadly(known)
	j.judgeRecovery(recovered)
	for _, name := range recorder.ownEnds {
		j.broken(Lives, nil, "%s", name)
	}
	return j.breaches
}

func (j *judgement) broken(promise Promise, request *Request, format string, arguments ...any) {
	breach := Breach{Promise: promise, Detail: fmt.Sprintf(format, arguments...)}
	if request != nil {
		breach.Request = request.ID
		breach.Detail += fmt.Sprintf(" (%s %s at %s, sent %s, status %d %s)", request.Method, request.Path,
			j.machines[request.Machine].name, request.Sent.Format(time.StampMilli), request.Status, request.Failure)
	}
	j.breaches = append(j.breaches, breach)
}

// undisturbed reports whether the machine was in touch from contactTime before
// the first time to the second. Planned work may be left out of account.
func (j *judgement) undisturbed(machine int, from, to time.Time, plannedToo bool) bool {
	from = from.Add(-contactTime)
	for _, d := range j.recorder.disturbances {
		if d.machine != machine && d.machine != everyMachine || d.planned && !plannedToo {
			continue
		}
		if d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return false
		}
	}
	return true
}

// judgeAnswer checks that an answer is the request's own and true.
func (j *judgement) judgeAnswer(r *Request) {
	switch {
	case strings.HasPrefix(r.Failure, "answer to "):
		j.broken(WholeAnswers, r, "another request's answer")
	case r.Status == 200 && r.Signature == "":
		j.broken(WholeAnswers, r, "a success without signature")
	case r.Status == 200 && !strings.HasSuffix(r.Body, " "+r.ID):
		j.broken(WholeAnswers, r, "body %q", r.Body)
	}
	if r.once() && (r.Status == 429 || r.Status == 503) && len(j.runs[r.ID]) > 0 {
		j.broken(NotRun, r, "it ran at %s", j.runs[r.ID][0].target.ID)
	}
}

// judgeConnection checks that a request got an answer, in time.
func (j *judgement) judgeConnection(r *Request) {
	late := r.Ended.Sub(r.Sent) > r.Deadline+answerSlack
	if late && j.undisturbed(r.Machine, r.Sent, r.Ended, true) {
		j.broken(InTime, r, "answered after %s", r.Ended.Sub(r.Sent))
	}
	if r.Status != 0 || late || !r.Connected {
		return
	}
	// A request may cross the close of a kept connection if nothing ran.
	crossed := r.Reused && len(j.runs[r.ID]) == 0
	if !crossed && j.undisturbed(r.Machine, r.Sent, r.Ended, false) {
		j.broken(NoCuts, r, "the connection ended without answer")
	}
}

// judgeVersion checks that a request which only one version allows was handled
// by the version that must be in force.
func (j *judgement) judgeVersion(r *Request) {
	if r.Version == 0 || !j.undisturbed(r.Machine, r.Sent, r.Sent, true) {
		return
	}
	newest, next := j.versionsAt(r.Sent.Add(-applyTime), r.Ended)
	switch {
	case r.Version == newest && next == newest && r.Status == 404:
		j.broken(InForce, r, "version %d is not in force", newest)
	case r.Version < newest && r.Status == 200:
		j.broken(InForce, r, "version %d is still in force after version %d", r.Version, newest)
	}
}

// versionsAt returns the newest version that was acknowledged by the first time
// and the newest that was sent by the second.
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

// judgeRuns checks everything that targets ran.
func (j *judgement) judgeRuns(known map[string]*Request) {
	for id, runs := range j.runs {
		request := known[id]
		if request == nil {
			j.broken(OnlyAsked, nil, "%s ran %q, which nobody sent", runs[0].target.ID, id)
			continue
		}
		if request.once() && len(runs) > 1 {
			j.broken(AtMostOnce, request, "it ran %d times", len(runs))
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
		j.broken(OnlyAsked, request, "%s ran %s %s", run.target.ID, run.Method, run.Path)
	case run.target.Service != service:
		j.broken(OnlyAsked, request, "service %s ran it", run.target.Service)
	case run.Caller != j.machines[request.Machine].service:
		j.broken(OnlyAsked, request, "the target was told caller %q", run.Caller)
	case run.Remaining < 0 || run.Remaining > request.Deadline+deadlineSlack:
		j.broken(InTime, request, "the target was given %s", run.Remaining)
	}
}

// serviceOf returns the service that a request may run at.
func serviceOf(r *Request) string {
	if r.Version > 0 {
		return services[r.Version%len(services)]
	}
	return strings.Split(r.Path, "/")[2]
}

// judgeDrains checks that targets got nothing new after they said that they
// leave.
func (j *judgement) judgeDrains() {
	for _, drained := range j.recorder.drains {
		bound := drained.at.Add(drainBound)
		for id, runs := range j.runs {
			for _, run := range runs {
				if startOf(run.target) == drained.target && run.At.After(bound) {
					j.broken(NoWorkLeaving, nil, "%s ran %s %s after its acknowledged leave", drained.target, id, run.At.Sub(drained.at))
				}
			}
		}
	}
}

// judgeRegressions checks that no life of a machine shows a version and later an
// older one.
func (j *judgement) judgeRegressions() {
	type life struct{ machine, number int }
	byLife := make(map[life][]*Request)
	for index := range j.recorder.requests {
		r := &j.recorder.requests[index]
		if r.Version > 0 && r.Status == 200 {
			key := life{r.Machine, r.Life}
			byLife[key] = append(byLife[key], r)
		}
	}
	for _, requests := range byLife {
		for _, newer := range requests {
			for _, older := range requests {
				if older.Version < newer.Version && older.Sent.After(newer.Ended.Add(rollbackSlack)) {
					j.broken(NeverOlder, older, "version %d after version %d", older.Version, newer.Version)
				}
			}
		}
	}
}

// judgeRecovery checks that nearly all requests are served once faults are over.
func (j *judgement) judgeRecovery(from time.Time) {
	served, all := 0, 0
	for index := range j.recorder.requests {
		r := &j.recorder.requests[index]
		other := r.Tenant != "" && r.Tenant != steadyTenant
		if r.Sent.Before(from) || r.Version > 0 || r.Deadly || other {
			continue
		}
		all++
		if r.Status == 200 {
			served++
		}
	}
	if all == 0 || float64(served) < recoveredShare*float64(all) {
		j.broken(Recovers, nil, "%d of %d requests were served at the end", served, all)
	}
}

// deadlyRun is a run of a request that ends targets.
type deadlyRun struct {
	targetRun
	request *Request
	machine int
}

// judgeDeadly checks that requests which end targets reach no more than a few once three
// have ended and the nodes had time to learn that.
func (j *judgement) judgeDeadly(known map[string]*Request) {
	byPath := make(map[string][]deadlyRun)
	for id, runs := range j.runs {
		request := known[id]
		if request == nil || !request.Deadly {
			continue
		}
		for _, run := range runs {
			byPath[request.Path] = append(byPath[request.Path], deadlyRun{targetRun: run, request: request, machine: j.machineOf(run.target)})
		}
	}
	for path, runs := range byPath {
		slices.SortFunc(runs, func(a, b deadlyRun) int { return a.At.Compare(b.At) })
		late := j.lateRuns(runs)
		if len(late) > maxLateRuns {
			j.broken(FewEnds, late[0].request, "%d runs of %s later than %s after the third, %d in all", len(late), path, contactTime, len(runs))
		}
	}
}

// lateRuns returns the runs that undisturbed machines made later than contactTime after
// the third target had ended.
func (j *judgement) lateRuns(runs []deadlyRun) []deadlyRun {
	if len(runs) < provingRuns {
		return nil
	}
	third := runs[provingRuns-1]
	from := third.At.Add(third.target.Work + contactTime)
	var late []deadlyRun
	for _, run := range runs[provingRuns:] {
		if run.At.After(from) && j.undisturbed(run.request.Machine, run.At, run.At, true) && j.undisturbed(run.machine, run.At, run.At, true) {
			late = append(late, run)
		}
	}
	return late
}

// machineOf returns the number of the machine that a target is on.
func (j *judgement) machineOf(target *platformstub.Target) int {
	return slices.IndexFunc(j.machines, func(m *machine) bool { return slices.Contains(m.targets, target) })
}
