package linear

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/store"
)

// operationInput is the input of an operation of the model.
type operationInput struct {
	object string
	// isRead marks a read that must return the current version.
	isRead           bool
	changeID         string
	isDelete         bool
	expectedRevision store.Revision
	// expectsKnownChange reports that the change that produced the expected revision
	// is known.
	expectsKnownChange bool
}

// operationOutput is the output of an operation of the model.
type operationOutput struct {
	outcome  admin.Outcome
	revision store.Revision
}

// register is the state of one object.
type register struct {
	// revision is the revision of the current version; zero if there is none.
	revision store.Revision
	// unseen reports that no response contains the revision of the current
	// version. That revision is higher than newest.
	unseen bool
	// newest is the highest revision that is known to have been current.
	newest store.Revision
}

// model returns the model of a compare-and-swap register for each object.
func model() porcupine.Model {
	return porcupine.Model{
		Partition: partitionByObject,
		Init:      func() any { return register{} },
		Step: func(state, input, output any) (bool, any) {
			return state.(register).step(input.(operationInput), output.(operationOutput))
		},
		DescribeOperation: func(input, output any) string {
			return describeOperation(input.(operationInput), output.(operationOutput))
		},
		DescribeState: func(state any) string { return fmt.Sprintf("%+v", state) },
	}
}

func partitionByObject(operations []porcupine.Operation) [][]porcupine.Operation {
	object := func(operation porcupine.Operation) string { return operation.Input.(operationInput).object }
	sorted := slices.Clone(operations)
	slices.SortStableFunc(sorted, func(a, b porcupine.Operation) int { return cmp.Compare(object(a), object(b)) })
	var parts [][]porcupine.Operation
	for start, end := 0, 0; start < len(sorted); start = end {
		for end < len(sorted) && object(sorted[end]) == object(sorted[start]) {
			end++
		}
		parts = append(parts, sorted[start:end])
	}
	return parts
}

// step reports whether the operation is possible in this state, and returns the
// next state. An operation of unknown outcome takes effect if it can. If it never
// took effect, that is equivalent to an operation after all others, which is
// allowed because its interval is unbounded.
func (r register) step(input operationInput, output operationOutput) (bool, register) {
	switch {
	case input.isRead:
		return !r.unseen && r.revision == output.revision, r
	case output.outcome == admin.OutcomeRefused:
		return r.unseen || r.revision != input.expectedRevision, r
	case output.outcome == admin.OutcomeAccepted:
		return r.canApply(input) && output.revision > r.newest, r.apply(input, output.revision)
	case r.canApply(input):
		return true, r.applyUnseen(input)
	}
	return true, r
}

// canApply reports whether the state matches the revision that a write expects.
func (r register) canApply(input operationInput) bool {
	if r.unseen {
		return input.expectedRevision > r.newest && !input.expectsKnownChange
	}
	return r.revision == input.expectedRevision
}

func (r register) apply(input operationInput, revision store.Revision) register {
	if input.isDelete {
		return register{newest: revision}
	}
	return register{revision: revision, newest: revision}
}

func (r register) applyUnseen(input operationInput) register {
	newest := max(r.newest, input.expectedRevision)
	return register{unseen: !input.isDelete, newest: newest}
}

func describeOperation(input operationInput, output operationOutput) string {
	verb := "put"
	switch {
	case input.isRead:
		return fmt.Sprintf("read %s: %d", input.object, output.revision)
	case input.isDelete:
		verb = "delete"
	}
	return fmt.Sprintf("%s %s expecting %d: %s %d (%s)", verb, input.object, input.expectedRevision, output.outcome, output.revision, input.changeID)
}

// modelOperations converts a history to operations of the model. It omits writes
// that were refused for any reason but a conflict, because they imply nothing
// about the object.
func modelOperations(history History, reconciled *reconciliation) []porcupine.Operation {
	var all []porcupine.Operation
	nextClientID := 0
	for _, write := range history.Writes {
		nextClientID = max(nextClientID, write.Client+1)
	}
	for _, write := range history.Writes {
		merged := reconciled.writeByChange[write.ChangeID]
		if merged.Outcome == admin.OutcomeRefused && !merged.Conflict {
			continue
		}
		_, known := reconciled.changeByRevision[merged.ExpectedRevision]
		operation := porcupine.Operation{
			ClientId: write.Client,
			Input:    operationInput{object: merged.Object, changeID: merged.ChangeID, isDelete: merged.Deletes, expectedRevision: merged.ExpectedRevision, expectsKnownChange: known},
			Call:     int64(merged.Call),
			Output:   operationOutput{outcome: merged.Outcome, revision: merged.Revision},
			Return:   int64(merged.completedBy),
		}
		if merged.completedBy > write.Return { // it overlaps with its client's later operations, so it needs another client ID
			operation.ClientId = nextClientID
			nextClientID++
		}
		all = append(all, operation)
	}
	for _, read := range history.Reads {
		if read.Fresh {
			all = append(all, freshReadOperation(read, nextClientID))
		}
	}
	return all
}

func freshReadOperation(read Read, clientID int) porcupine.Operation {
	var revision store.Revision
	if len(read.Versions) > 0 && !read.Versions[0].Deleted {
		revision = read.Versions[0].Revision
	}
	return porcupine.Operation{
		ClientId: clientID,
		Input:    operationInput{object: read.Object, isRead: true},
		Call:     int64(read.Call),
		Output:   operationOutput{revision: revision},
		Return:   int64(read.Return),
	}
}
