package answer

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func encodeAnswer(t *testing.T, nonce string) []byte {
	t.Helper()
	leaf := Answer{Service: "cropcal", Target: "cropcal-1", Nonce: nonce, Padding: Padding(nonce, 50)}
	leaf.Checksum = leaf.computeChecksum()
	body, err := Answer{
		Service: "houseview", Target: "houseview-1", RequestID: "r1", Nonce: nonce,
		Parts: []Answer{leaf}, Padding: Padding(nonce, 100),
	}.Encode()
	assert.NilError(t, err)
	return body
}

func TestVerify(t *testing.T) {
	expected := Expectation{Service: "houseview", Nonce: "n1", Required: []Expectation{{Service: "cropcal"}}}
	nested := Expectation{Service: "houseview", Nonce: "n1",
		Required: []Expectation{{Service: "cropcal", Required: []Expectation{{Service: "climate"}}}}}
	complete := encodeAnswer(t, "n1")
	withoutParts, err := Answer{Service: "houseview", Nonce: "n1"}.Encode()
	assert.NilError(t, err)
	cases := []struct {
		name     string
		body     []byte
		expected Expectation
		want     []FaultKind
	}{
		{"complete", complete, expected, nil},
		{"additional part", complete, Expectation{Service: "houseview", Nonce: "n1"}, nil},
		{"cut", complete[:len(complete)/2], expected, []FaultKind{FaultTruncated}},
		{"empty", nil, expected, []FaultKind{FaultTruncated}},
		{"two answers", append(bytes.Clone(complete), complete...), expected, []FaultKind{FaultMalformed}},
		{"answer to another call", encodeAnswer(t, "n2"), expected, []FaultKind{FaultWrongNonce, FaultWrongNonce}},
		{"missing part", withoutParts, expected, []FaultKind{FaultMissingPart}},
		{"missing nested part", complete, nested, []FaultKind{FaultMissingPart}},
		{"other service", complete, Expectation{Service: "logpull", Nonce: "n1"}, []FaultKind{FaultWrongService}},
		{"changed field", bytes.Replace(complete, []byte(`"houseview-1"`), []byte(`"houseview-2"`), 1), expected, []FaultKind{FaultBadChecksum}},
		{"changed part", bytes.Replace(complete, []byte(`"cropcal-1"`), []byte(`"cropcal-2"`), 1), expected, []FaultKind{FaultBadChecksum}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var kinds []FaultKind
			for _, fault := range Verify(c.body, c.expected) {
				kinds = append(kinds, fault.Kind)
			}
			assert.DeepEqual(t, kinds, c.want)
		})
	}
}

func TestVerifyRejectsEveryPrefix(t *testing.T) {
	complete := encodeAnswer(t, "n1")
	for length := range len(complete) {
		faults := Verify(complete[:length], Expectation{Service: "houseview", Nonce: "n1"})
		assert.Assert(t, len(faults) > 0, "prefix of %d bytes", length)
	}
}
