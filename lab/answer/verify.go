package answer

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// FaultKind names what is wrong with an answer.
type FaultKind string

// The kinds of faults.
const (
	FaultTruncated    FaultKind = "truncated"
	FaultMalformed    FaultKind = "malformed"
	FaultWrongService FaultKind = "wrong-service"
	FaultWrongNonce   FaultKind = "wrong-nonce"
	FaultMissingPart  FaultKind = "missing-part"
	FaultBadSum       FaultKind = "bad-sum"
)

// Fault is one thing that is wrong with an answer.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Part is the path of services to the faulty part.
	Part   string `json:"part"`
	Detail string `json:"detail"`
}

// Error describes the fault.
func (f Fault) Error() string {
	return fmt.Sprintf("answer part %s: %s: %s", f.Part, f.Kind, f.Detail)
}

// Expectation is what a complete answer holds.
type Expectation struct {
	Service string
	Nonce   string
	// Required are the parts that must be there. Their Nonce is ignored: all
	// parts carry the nonce of the whole answer.
	Required []Expectation
}

// Verify checks an answer and returns what is wrong with it; an answer without
// faults is the complete one to the call of the expectation.
func Verify(body []byte, expected Expectation) []Fault {
	var decoded Answer
	if err := json.Unmarshal(body, &decoded); err != nil {
		return []Fault{decodeFault(err, expected.Service)}
	}
	check := verifier{nonce: expected.Nonce}
	check.answer(decoded, expected, expected.Service)
	return check.faults
}

func decodeFault(err error, part string) Fault {
	kind := FaultMalformed
	if errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(err.Error(), "unexpected end of JSON input") {
		kind = FaultTruncated
	}
	return Fault{Kind: kind, Part: part, Detail: err.Error()}
}

type verifier struct {
	nonce  string
	faults []Fault
}

func (v *verifier) report(kind FaultKind, part, format string, values ...any) {
	v.faults = append(v.faults, Fault{Kind: kind, Part: part, Detail: fmt.Sprintf(format, values...)})
}

func (v *verifier) answer(got Answer, expected Expectation, part string) {
	if got.Service != expected.Service {
		v.report(FaultWrongService, part, "got %q", got.Service)
	}
	v.content(got, part)
	used := make([]bool, len(got.Parts))
	for _, required := range expected.Required {
		v.required(got, required, used, part)
	}
	for i, extra := range got.Parts {
		if !used[i] {
			v.optional(extra, part+"/"+extra.Service)
		}
	}
}

// content checks what holds for every part, expected or not.
func (v *verifier) content(got Answer, part string) {
	if got.Nonce != v.nonce {
		v.report(FaultWrongNonce, part, "got %q, want %q", got.Nonce, v.nonce)
	}
	if sum := got.computeSum(); got.Sum != sum {
		v.report(FaultBadSum, part, "got %q, computed %q", got.Sum, sum)
	}
}

func (v *verifier) required(got Answer, required Expectation, used []bool, part string) {
	path := part + "/" + required.Service
	for i, candidate := range got.Parts {
		if used[i] || candidate.Service != required.Service {
			continue
		}
		used[i] = true
		v.answer(candidate, required, path)
		return
	}
	v.report(FaultMissingPart, path, "the part isn't there")
}

func (v *verifier) optional(got Answer, part string) {
	v.content(got, part)
	for _, child := range got.Parts {
		v.optional(child, part+"/"+child.Service)
	}
}
