package linear

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/store"
)

// action is the input of an operation of the model.
type action struct {
	object string
	// reads marks a read that must show the version in force.
	reads    bool
	change   string
	deletes  bool
	expected store.Revision
	// named says that the expected revision is that of a change whose revision
	// is known.
	named bool
}

// result is the output of an operation of the model.
type result struct {
	outcome  admin.Outcome
	revision store.Revision
}

// register is the state of one object.
type register struct {
	// revision is that of the version in force; zero means that there is none.
	revision store.Revision
	// unseen says that the version in force has a revision that nobody was told,
	// above newest.
	unseen bool
	// newest is the highest revision that is known to have been in force.
	newest store.Revision
}

// model is a register with compare-and-swap for each object.
func model() porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init:      func() any { return register{} },
		Step: func(state, input, output any) (bool, any) {
			return state.(register).step(input.(action), output.(result))
		},
		DescribeOperation: func(input, output any) string { return describe(input.(action), output.(result)) },
		DescribeState:     func(state any) string { return fmt.Sprintf("%+v", state) },
	}
}

func partition(operations []porcupine.Operation) [][]porcupine.Operation {
	object := func(operation porcupine.Operation) string { return operation.Input.(action).object }
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

// step decides whether the operation can happen in this state. An operation of
// unknown outcome takes effect if it can. That it never does is the same as
// that it happens after all others, because it has no end.
func (r register) step(input action, output result) (bool, register) {
	switch {
	case input.reads:
		return !r.unseen && r.revision == output.revision, r
	case output.outcome == admin.OutcomeRefused:
		return r.unseen || r.revision != input.expected, r
	case output.outcome == admin.OutcomeAccepted:
		return r.matches(input) && output.revision > r.newest, r.after(input, output.revision)
	case r.matches(input):
		return true, r.afterUnseen(input)
	}
	return true, r
}

// matches reports whether a write that expects the revision can take effect.
func (r register) matches(input action) bool {
	if r.unseen {
		return input.expected > r.newest && !input.named
	}
	return r.revision == input.expected
}

func (r register) after(input action, revision store.Revision) register {
	if input.deletes {
		return register{newest: revision}
	}
	return register{revision: revision, newest: revision}
}

func (r register) afterUnseen(input action) register {
	newest := max(r.newest, input.expected)
	return register{unseen: !input.deletes, newest: newest}
}

func describe(input action, output result) string {
	verb := "put"
	switch {
	case input.reads:
		return fmt.Sprintf("read %s: %d", input.object, output.revision)
	case input.deletes:
		verb = "delete"
	}
	return fmt.Sprintf("%s %s expecting %d: %s %d (%s)", verb, input.object, input.expected, output.outcome, output.revision, input.change)
}

// operations returns the model's operations. A write that was refused for any
// reason but a conflict says nothing about the object.
func operations(history History, f *fates) []porcupine.Operation {
	var all []porcupine.Operation
	clients := 0
	for _, write := range history.Writes {
		clients = max(clients, write.Client+1)
	}
	for _, write := range history.Writes {
		made := f.byChange[write.Change]
		if made.Outcome == admin.OutcomeRefused && !made.Conflict {
			continue
		}
		_, named := f.byRevision[made.Expected]
		operation := porcupine.Operation{
			ClientId: write.Client,
			Input:    action{object: made.Object, change: made.Change, deletes: made.Deletes, expected: made.Expected, named: named},
			Call:     int64(made.Call),
			Output:   result{outcome: made.Outcome, revision: made.Revision},
			Return:   int64(made.by),
		}
		if made.by > write.Return { // its client went on meanwhile
			operation.ClientId = clients
			clients++
		}
		all = append(all, operation)
	}
	for _, read := range history.Reads {
		if read.Fresh {
			all = append(all, freshRead(read, clients))
		}
	}
	return all
}

func freshRead(read Read, client int) porcupine.Operation {
	var revision store.Revision
	if len(read.Versions) > 0 && !read.Versions[0].Deleted {
		revision = read.Versions[0].Revision
	}
	return porcupine.Operation{
		ClientId: client,
		Input:    action{object: read.Object, reads: true},
		Call:     int64(read.Call),
		Output:   result{revision: revision},
		Return:   int64(read.Return),
	}
}
