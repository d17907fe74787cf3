package judge

import (
	"fmt"
	"slices"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/load"
)

// checkResponses finds responses with status 200 that are incomplete or belong to
// another call.
func checkResponses(i *index) []Breach {
	var found []Breach
	for _, call := range i.Calls {
		for _, attempt := range call.Attempts {
			if attempt.Verdict != load.VerdictWrong {
				continue
			}
			found = append(found, Breach{
				Kind:      IncorrectResponse,
				At:        attempt.End,
				Summary:   fmt.Sprintf("a %s got an incomplete response or one that belongs to another call", call.Kind),
				RequestID: attempt.RequestID,
				Evidence:  []Evidence{sent(call, attempt), ended(attempt)},
			})
		}
	}
	return found
}

// checkNotExecuted finds attempts that were refused with "executed: no" and were
// executed all the same.
func checkNotExecuted(i *index) []Breach {
	var found []Breach
	for _, call := range i.Calls {
		for _, attempt := range call.Attempts {
			if attempt.Executed != problem.ExecutedNo || attempt.RequestID == "" {
				continue
			}
			records := i.byRequest[attempt.RequestID]
			if len(records) == 0 {
				continue
			}
			found = append(found, Breach{
				Kind:      ExecutedDespiteRefusal,
				At:        attempt.End,
				Summary:   fmt.Sprintf("a %s was reported as not executed but was executed", call.Kind),
				RequestID: attempt.RequestID,
				Target:    records[0].Target,
				Evidence:  []Evidence{sent(call, attempt), executed(earliest(records)), ended(attempt)},
			})
		}
	}
	return found
}

func earliest(records []emulator.Record) emulator.Record {
	return slices.MinFunc(records, func(a, b emulator.Record) int { return a.Start.Compare(b.Start) })
}

// keyedService is the scope of an idempotency key: keys are unique for each
// service.
type keyedService struct{ service, key string }

// checkDuplicateExecutions finds idempotency keys with which a service executed
// more than one call.
func checkDuplicateExecutions(i *index) []Breach {
	executions := map[keyedService][]emulator.Record{}
	var order []keyedService
	for _, record := range i.Records {
		if record.IdempotencyKey == "" {
			continue
		}
		keyed := keyedService{record.Service, record.IdempotencyKey}
		if len(executions[keyed]) == 0 {
			order = append(order, keyed)
		}
		executions[keyed] = append(executions[keyed], record)
	}
	var found []Breach
	for _, keyed := range order {
		if records := executions[keyed]; len(records) > 1 {
			found = append(found, i.keyBreach(keyed, records))
		}
	}
	return found
}

func (i *index) keyBreach(keyed keyedService, records []emulator.Record) Breach {
	breach := Breach{
		Kind:      ExecutedTwice,
		At:        records[1].Start,
		Summary:   fmt.Sprintf("%s executed %d calls with the idempotency key %s", keyed.service, len(records), keyed.key),
		RequestID: records[0].RequestID,
		Target:    records[0].Target,
	}
	for _, record := range records {
		breach.Evidence = append(breach.Evidence, executed(record))
	}
	for _, call := range i.Calls {
		if call.IdempotencyKey != keyed.key {
			continue
		}
		for _, attempt := range call.Attempts {
			breach.Evidence = append(breach.Evidence, sent(call, attempt), ended(attempt))
		}
	}
	return breach
}
