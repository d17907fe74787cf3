package resource

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-playground/validator/v10"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	err := validate.RegisterValidation("ip_port", func(level validator.FieldLevel) bool {
		address, err := netip.ParseAddrPort(level.Field().String())
		return err == nil && address.Port() != 0
	})
	if err != nil {
		panic(err)
	}
	err = validate.RegisterValidation("object_name", func(level validator.FieldLevel) bool {
		name := level.Field().String()
		return len(name) <= MaxNameLength && namePattern.MatchString(name)
	})
	if err != nil {
		panic(err)
	}
	return validate
}

// Validate checks the envelope's name, that it has a specification of its kind,
// and the fields of the specification. The expressions of a policy are not
// compiled here; package policy does that.
func (e Envelope) Validate() error {
	if err := e.ID.Validate(); err != nil {
		return err
	}
	if e.Deleted {
		return nil
	}
	specification, err := e.specification()
	if err != nil {
		return err
	}
	if err := validate.Struct(specification); err != nil {
		return describeErrors(err)
	}
	if e.ID.Kind == KindDrain {
		return validateDrainName(e.ID.Name)
	}
	return nil
}

func (e Envelope) specification() (any, error) {
	switch {
	case e.ID.Kind == KindTarget && e.Target != nil:
		return e.Target, nil
	case e.ID.Kind == KindService && e.Service != nil:
		return e.Service, nil
	case e.ID.Kind == KindPolicy && e.Policy != nil:
		return e.Policy, nil
	case e.ID.Kind == KindDrain && e.Drain != nil:
		return e.Drain, nil
	case e.ID.Kind == KindRoster && len(e.Roster) > 0:
		return &struct{}{}, nil
	}
	return nil, fmt.Errorf("%s has no specification of its kind", e.ID)
}

func validateDrainName(name string) error {
	for _, prefix := range []string{DrainTargetPrefix, DrainMachinePrefix} {
		if drained, ok := strings.CutPrefix(name, prefix); ok && drained != "" {
			return nil
		}
	}
	return fmt.Errorf("drain %q: the name must start with %s or %s", name, DrainTargetPrefix, DrainMachinePrefix)
}

// describeErrors converts the validator's errors to one error that names every
// invalid field, its value and the violated rule.
func describeErrors(err error) error {
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return err
	}
	described := make([]error, 0, len(fieldErrors))
	for _, fieldError := range fieldErrors {
		described = append(described, fmt.Errorf("%s: value %v breaks the rule %s", fieldError.Field(), fieldError.Value(), ruleDescription(fieldError)))
	}
	return errors.Join(described...)
}

func ruleDescription(fieldError validator.FieldError) string {
	switch fieldError.Tag() {
	case "ip_port":
		return "IP address and port, such as 10.0.0.1:8080"
	case "object_name":
		return "name of a-z, 0-9, '.' and '-', starting and ending with a letter or digit"
	case "required":
		return "must be given"
	}
	return strings.TrimSuffix(fieldError.Tag()+" "+fieldError.Param(), " ")
}

// Encode returns the CBOR encoding in which the envelope is stored.
func (e Envelope) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", e.ID, err)
	}
	if len(encoded) > MaxObjectSize {
		return nil, fmt.Errorf("encode %s: %d bytes, allowed are %d", e.ID, len(encoded), MaxObjectSize)
	}
	return encoded, nil
}

// DecodeEnvelope decodes and validates a stored envelope.
func DecodeEnvelope(encoded []byte) (Envelope, error) {
	var e Envelope
	if len(encoded) > MaxObjectSize {
		return e, fmt.Errorf("decode envelope: %d bytes, allowed are %d", len(encoded), MaxObjectSize)
	}
	if err := cbor.Unmarshal(encoded, &e); err != nil {
		return e, fmt.Errorf("decode envelope: %w", err)
	}
	return e, e.Validate()
}
