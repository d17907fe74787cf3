package judge

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lugspur/lugspur/lab/emulator"
)

// checkRetries finds requests with more retries than allowed, as far as the
// executions prove them. Without retries, a service is executed once for each
// execution of a service that calls it, and once more if the request entered the
// mesh there. Each further execution is a retry of a call to that service.
// Executions caused by a retry upstream are not counted again. Retries that no
// target executed cannot be detected.
func checkRetries(i *index) []Breach {
	if i.Mesh == nil {
		return nil
	}
	var found []Breach
	for _, request := range slices.Sorted(maps.Keys(i.byRequest)) {
		records := i.byRequest[request]
		if request == "" || len(records) <= i.Settings.RetryBound+1 {
			continue
		}
		if retries := i.provenRetries(records); retries > i.Settings.RetryBound {
			found = append(found, retryBreach(request, retries, i.Settings.RetryBound, records))
		}
	}
	return found
}

// provenRetries returns the minimum number of retries that explains the
// executions of one request.
func (i *index) provenRetries(records []emulator.Record) int {
	calls := map[string]int{}
	executions := map[string]int{}
	for _, record := range records {
		executions[record.Service]++
		for _, called := range i.calledBy(record) {
			calls[called]++
		}
	}
	calls[i.entryOf(records)]++
	retries := 0
	for service, count := range executions {
		retries += max(0, count-calls[service])
	}
	return retries
}

// calledBy lists the services that an execution calls.
func (i *index) calledBy(record emulator.Record) []string {
	service, _ := i.Mesh.Service(record.Service)
	work, _ := service.Work(record.Method, record.Path)
	var called []string
	for _, call := range work.Calls {
		called = append(called, call.Service)
	}
	return called
}

// entryOf returns the service at which the request entered the mesh: that of the
// first execution, since a service is executed before those that it calls.
func (i *index) entryOf(records []emulator.Record) string {
	first := records[0]
	for _, record := range records {
		if record.Start.Before(first.Start) {
			first = record
		}
	}
	return first.Service
}

func retryBreach(request string, retries, bound int, records []emulator.Record) Breach {
	breach := Breach{
		Kind:      RetriesOverBound,
		At:        records[0].Start,
		Summary:   fmt.Sprintf("one request had at least %d retries; at most %d are allowed", retries, bound),
		RequestID: request,
	}
	for _, record := range records {
		breach.Evidence = append(breach.Evidence, executed(record))
	}
	return breach
}
