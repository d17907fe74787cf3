package resource

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func validTarget() *Target {
	return &Target{Service: "cropcal", Zone: "sabeto", Address: "10.0.0.1:8080", Slots: 4, Connections: 8, Machine: "m-1", WarmupSeconds: 30}
}

func validEnvelopes() []Envelope {
	retries := 0
	return []Envelope{
		{ID: ID{KindTarget, "cropcal-1"}, Target: validTarget()},
		{ID: ID{KindService, "cropcal"}, Service: &Service{Calls: []string{"x"}, MaxRetries: &retries, RepeatableMethods: []string{"PUT"}}},
		{ID: ID{KindPolicy, "cropcal"}, Policy: &Policy{Admit: "true"}},
		{ID: ID{KindDrain, "target.cropcal-1"}, Drain: &Drain{Reason: "repair"}},
		{ID: ID{KindRoster, "claims"}, Roster: []byte{1}},
		{ID: ID{KindTarget, "cropcal-1"}, Deleted: true, History: []Change{{ID: "c1", At: time.Unix(1, 0).UTC(), Replaces: 7, Deleted: true}}},
	}
}

func TestEnvelopeRoundTrip(t *testing.T) {
	for _, want := range validEnvelopes() {
		t.Run(want.ID.String(), func(t *testing.T) {
			content, err := want.Encode()
			assert.NilError(t, err)
			got, err := DecodeEnvelope(content)
			assert.NilError(t, err)
			again, err := got.Encode()
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(content, again))
			assert.DeepEqual(t, got.Target, want.Target)
			assert.DeepEqual(t, got.Service, want.Service)
			assert.Equal(t, got.Deleted, want.Deleted)
			assert.Equal(t, len(got.History), len(want.History))
		})
	}
}

func TestValidateReportsField(t *testing.T) {
	target := func(modify func(*Target)) Envelope {
		e := Envelope{ID: ID{KindTarget, "t"}, Target: validTarget()}
		modify(e.Target)
		return e
	}
	service := func(s Service) Envelope { return Envelope{ID: ID{KindService, "s"}, Service: &s} }
	tooManyRetries := 21
	for name, c := range map[string]struct {
		envelope Envelope
		wantErr  string
	}{
		"no service":       {target(func(t *Target) { t.Service = "" }), "service"},
		"no zone":          {target(func(t *Target) { t.Zone = "" }), "zone"},
		"host name":        {target(func(t *Target) { t.Address = "localhost:80" }), "IP address and port"},
		"no port":          {target(func(t *Target) { t.Address = "10.0.0.1" }), "IP address and port"},
		"port 0":           {target(func(t *Target) { t.Address = "10.0.0.1:0" }), "IP address and port"},
		"no slots":         {target(func(t *Target) { t.Slots = 0 }), "slots"},
		"connections":      {target(func(t *Target) { t.Connections = 100001 }), "connections"},
		"warm-up":          {target(func(t *Target) { t.WarmupSeconds = -1 }), "warmup_seconds"},
		"timeout":          {service(Service{TimeoutMillis: -1}), "timeout_ms"},
		"retries":          {service(Service{MaxRetries: &tooManyRetries}), "max_retries"},
		"empty call":       {service(Service{Calls: []string{""}}), "calls"},
		"drain":            {Envelope{ID: ID{KindDrain, "cropcal-1"}, Drain: &Drain{}}, "must start with"},
		"drain of nothing": {Envelope{ID: ID{KindDrain, "target"}, Drain: &Drain{}}, "must start with"},
		"no specification": {Envelope{ID: ID{KindTarget, "t"}}, "no specification"},
		"wrong kind":       {Envelope{ID: ID{KindTarget, "t"}, Service: &Service{}}, "no specification"},
		"kind":             {Envelope{ID: ID{"node", "t"}}, "unknown kind"},
		"upper case":       {Envelope{ID: ID{KindTarget, "T"}, Target: validTarget()}, "name"},
		"slash":            {Envelope{ID: ID{KindTarget, "a/b"}, Target: validTarget()}, "name"},
		"dot at the end":   {Envelope{ID: ID{KindTarget, "a."}, Target: validTarget()}, "name"},
		"long name":        {Envelope{ID: ID{KindTarget, strings.Repeat("a", MaxNameLength+1)}, Target: validTarget()}, "name"},
		"empty name":       {Envelope{ID: ID{KindTarget, ""}, Deleted: true}, "name"},
	} {
		t.Run(name, func(t *testing.T) { assert.ErrorContains(t, c.envelope.Validate(), c.wantErr) })
	}
}

func TestParseKey(t *testing.T) {
	for _, e := range validEnvelopes() {
		parsed, err := ParseKey(e.ID.Key())
		assert.NilError(t, err)
		assert.Equal(t, parsed, e.ID)
	}
	for _, key := range []string{"", "/other/v1/target/t", KeyPrefix + "target", KeyPrefix + "node/n", KeyPrefix + "target/a/b", KeyPrefix + "target/"} {
		_, err := ParseKey(key)
		assert.Check(t, err != nil, "%q was parsed", key)
	}
}

// Every target and every machine with a valid name must have a valid drain name.
func TestValidNamesCanBeDrained(t *testing.T) {
	for name, c := range map[string]struct{ target, machine string }{
		"usual":            {"cropcal-1", "m-1"},
		"longest target":   {strings.Repeat("a", MaxNameLength), ""},
		"longest machine":  {"t", strings.Repeat("m", 100)},
		"odd machine name": {"t", "Rack_7 M1"},
	} {
		t.Run(name, func(t *testing.T) {
			target := validTarget()
			target.Machine = c.machine
			if (Envelope{ID: ID{KindTarget, c.target}, Target: target}).Validate() != nil {
				return
			}
			names := []string{DrainTargetPrefix + c.target}
			if c.machine != "" {
				names = append(names, DrainMachinePrefix+c.machine)
			}
			for _, name := range names {
				assert.NilError(t, Envelope{ID: ID{KindDrain, name}, Drain: &Drain{}}.Validate())
			}
		})
	}
}

func TestSuccessor(t *testing.T) {
	e := Envelope{ID: ID{KindTarget, "t"}, Target: validTarget()}
	for i := range HistoryLength + 5 {
		e = e.Successor(Envelope{ID: ID{KindTarget, "other"}, Target: validTarget()}, Change{ID: fmt.Sprint(i)})
	}
	assert.Equal(t, e.ID.Name, "t")
	assert.Equal(t, len(e.History), HistoryLength)
	assert.Equal(t, e.History[0].ID, fmt.Sprint(HistoryLength+4))
	assert.Assert(t, e.HasChange(fmt.Sprint(HistoryLength)))
	assert.Assert(t, !e.HasChange("0"), "the oldest change was not removed")
	deleted := e.Successor(Envelope{}, Change{ID: "d", Deleted: true})
	assert.Assert(t, deleted.Deleted)
	assert.NilError(t, deleted.Validate())
}

func TestEncodedSizeIsBounded(t *testing.T) {
	large := Envelope{ID: ID{KindPolicy, "p"}, Policy: &Policy{Admit: strings.Repeat("x", MaxObjectSize)}}
	_, err := large.Encode()
	assert.ErrorContains(t, err, "bytes")
	content, err := cbor.Marshal(large)
	assert.NilError(t, err)
	_, err = DecodeEnvelope(content)
	assert.ErrorContains(t, err, "bytes")
}

func FuzzDecodeEnvelope(f *testing.F) {
	for _, e := range validEnvelopes() {
		content, err := e.Encode()
		assert.NilError(f, err)
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		decoded, err := DecodeEnvelope(content)
		if err != nil {
			return
		}
		encoded, err := cbor.Marshal(decoded)
		assert.NilError(t, err)
		again, err := DecodeEnvelope(encoded)
		if len(encoded) <= MaxObjectSize {
			assert.NilError(t, err)
			assert.Equal(t, again.ID, decoded.ID)
		}
	})
}
