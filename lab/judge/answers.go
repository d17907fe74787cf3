package judge

import (
	"fmt"
	"slices"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/load"
)

// checkAnswers looks for answers with status 200 that are not complete or not
// the caller's own.
func checkAnswers(i *index) []Breach {
	var found []Breach
	for _, call := range i.Calls {
		for _, attempt := range call.Attempts {
			if attempt.Verdict != load.VerdictWrong {
				continue
			}
			found = append(found, Breach{
				Kind:      WrongAnswer,
				At:        attempt.End,
				Summary:   fmt.Sprintf("a %s got an answer that is not the complete one to it", call.Kind),
				RequestID: attempt.RequestID,
				Evidence:  []Evidence{sent(call, attempt), ended(attempt)},
			})
		}
	}
	return found
}

// checkNotExecuted looks for tries that were told "executed: no" and executed.
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
				Kind:      ExecutedAfterAll,
				At:        attempt.End,
				Summary:   fmt.Sprintf("a %s was said not to have been run and was run", call.Kind),
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

// keyedService is what an idempotency key holds for.
type keyedService struct{ service, key string }

// checkKeys looks for keys under which a service executed more than one call.
func checkKeys(i *index) []Breach {
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
		Summary:   fmt.Sprintf("%s executed %d calls with the key %s", keyed.service, len(records), keyed.key),
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
