package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/resource"
)

// DecodeSpecification decodes an object's specification from JSON. Unknown
// fields are an error.
func DecodeSpecification(id resource.ID, body []byte) (resource.Envelope, error) {
	envelope := resource.Envelope{ID: id}
	var err error
	switch id.Kind {
	case resource.KindTarget:
		envelope.Target, err = decodeStrict[resource.Target](body)
	case resource.KindService:
		envelope.Service, err = decodeStrict[resource.Service](body)
	case resource.KindPolicy:
		envelope.Policy, err = decodeStrict[resource.Policy](body)
	case resource.KindDrain:
		envelope.Drain, err = decodeStrict[resource.Drain](body)
	default:
		err = id.Validate()
	}
	return envelope, err
}

func decodeStrict[T any](body []byte) (*T, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var specification T
	if err := decoder.Decode(&specification); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON value")
	}
	return &specification, nil
}

// EncodeSpecification returns the JSON form of an object's specification, or
// nil for a deleted object.
func EncodeSpecification(envelope resource.Envelope) (json.RawMessage, error) {
	switch {
	case envelope.Deleted:
		return nil, nil
	case envelope.Target != nil:
		return json.Marshal(envelope.Target)
	case envelope.Service != nil:
		return json.Marshal(envelope.Service)
	case envelope.Policy != nil:
		return json.Marshal(envelope.Policy)
	case envelope.Drain != nil:
		return json.Marshal(envelope.Drain)
	}
	return nil, nil
}

// Check validates an object and returns its faults. A policy is also compiled.
func Check(envelope resource.Envelope) []Fault {
	if err := envelope.Validate(); err != nil {
		return faultsOf(err)
	}
	if envelope.Policy == nil {
		return nil
	}
	_, err := policy.Compile(policy.Source{
		Admit:  envelope.Policy.Admit,
		Rank:   envelope.Policy.Rank,
		Retry:  envelope.Policy.Retry,
		Refuse: envelope.Policy.Refuse,
	})
	return faultsOf(err)
}

func faultsOf(err error) []Fault {
	if err == nil {
		return nil
	}
	var compileError *policy.CompileError
	if errors.As(err, &compileError) {
		return policyFaults(compileError)
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []Fault{{Message: err.Error()}}
	}
	var faults []Fault
	for _, cause := range joined.Unwrap() {
		faults = append(faults, Fault{Message: cause.Error()})
	}
	return faults
}

func policyFaults(compileError *policy.CompileError) []Fault {
	faults := make([]Fault, 0, len(compileError.Faults))
	for _, fault := range compileError.Faults {
		faults = append(faults, Fault{
			Expression: fault.Expression,
			Line:       fault.Line,
			Column:     fault.Column,
			Message:    fault.Message,
			Allowed:    fault.Allowed,
		})
	}
	return faults
}
