package answer

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// FaultKind classifies a fault in an answer.
type FaultKind string

// The kinds of faults that Verify reports.
const (
	FaultTruncated    FaultKind = "truncated"
	FaultMalformed    FaultKind = "malformed"
	FaultWrongService FaultKind = "wrong-service"
	FaultWrongNonce   FaultKind = "wrong-nonce"
	FaultMissingPart  FaultKind = "missing-part"
	FaultBadChecksum  FaultKind = "bad-sum"
)

// Fault describes one way in which an answer differs from the expected one.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Part is the path to the faulty part, made of service names.
	Part   string `json:"part"`
	Detail string `json:"detail"`
}

// Error implements the error interface.
func (f Fault) Error() string {
	return fmt.Sprintf("answer part %s: %s: %s", f.Part, f.Kind, f.Detail)
}

// Expectation describes a complete answer.
type Expectation struct {
	Service string
	Nonce   string
	// Required are the parts that must be present. Their Nonce is ignored, because
	// all parts carry the nonce of the whole answer.
	Required []Expectation
}

// Verify checks an answer and returns its faults. An answer without faults is
// the complete answer to the expected call.
func Verify(body []byte, expected Expectation) []Fault {
	var decoded Answer
	if err := json.Unmarshal(body, &decoded); err != nil {
		return []Fault{decodeFault(err, expected.Service)}
	}
	v := verifier{nonce: expected.Nonce}
	v.verifyAnswer(decoded, expected, expected.Service)
	return v.faults
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

func (v *verifier) addFault(kind FaultKind, part, format string, arguments ...any) {
	v.faults = append(v.faults, Fault{Kind: kind, Part: part, Detail: fmt.Sprintf(format, arguments...)})
}

func (v *verifier) verifyAnswer(got Answer, expected Expectation, part string) {
	if got.Service != expected.Service {
		v.addFault(FaultWrongService, part, "got %q", got.Service)
	}
	v.verifyContent(got, part)
	used := make([]bool, len(got.Parts))
	for _, required := range expected.Required {
		v.verifyRequired(got, required, used, part)
	}
	for i, extra := range got.Parts {
		if !used[i] {
			v.verifyOptional(extra, part+"/"+extra.Service)
		}
	}
}

// verifyContent checks what applies to every part, whether required or not.
func (v *verifier) verifyContent(got Answer, part string) {
	if got.Nonce != v.nonce {
		v.addFault(FaultWrongNonce, part, "got %q, want %q", got.Nonce, v.nonce)
	}
	if computed := got.computeChecksum(); got.Checksum != computed {
		v.addFault(FaultBadChecksum, part, "got %q, computed %q", got.Checksum, computed)
	}
}

func (v *verifier) verifyRequired(got Answer, required Expectation, used []bool, part string) {
	path := part + "/" + required.Service
	for i, candidate := range got.Parts {
		if used[i] || candidate.Service != required.Service {
			continue
		}
		used[i] = true
		v.verifyAnswer(candidate, required, path)
		return
	}
	v.addFault(FaultMissingPart, path, "required part is missing")
}

func (v *verifier) verifyOptional(got Answer, part string) {
	v.verifyContent(got, part)
	for _, child := range got.Parts {
		v.verifyOptional(child, part+"/"+child.Service)
	}
}
