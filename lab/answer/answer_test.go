package answer

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func makeAnswer(t *testing.T, nonce string) []byte {
	t.Helper()
	leaf := Answer{Service: "cropcal", Target: "cropcal-1", Nonce: nonce, Padding: Padding(nonce, 50)}
	leaf.Sum = leaf.computeSum()
	body, err := Answer{
		Service: "houseview", Target: "houseview-1", RequestID: "r1", Nonce: nonce,
		Parts: []Answer{leaf}, Padding: Padding(nonce, 100),
	}.Encode()
	assert.NilError(t, err)
	return body
}

func TestVerify(t *testing.T) {
	expected := Expectation{Service: "houseview", Nonce: "n1", Required: []Expectation{{Service: "cropcal"}}}
	deeper := Expectation{Service: "houseview", Nonce: "n1",
		Required: []Expectation{{Service: "cropcal", Required: []Expectation{{Service: "climate"}}}}}
	whole := makeAnswer(t, "n1")
	withoutParts, err := Answer{Service: "houseview", Nonce: "n1"}.Encode()
	assert.NilError(t, err)
	cases := []struct {
		name     string
		body     []byte
		expected Expectation
		want     []FaultKind
	}{
		{"complete", whole, expected, nil},
		{"optional part present", whole, Expectation{Service: "houseview", Nonce: "n1"}, nil},
		{"cut", whole[:len(whole)/2], expected, []FaultKind{FaultTruncated}},
		{"empty", nil, expected, []FaultKind{FaultTruncated}},
		{"two answers", append(bytes.Clone(whole), whole...), expected, []FaultKind{FaultMalformed}},
		{"someone else's", makeAnswer(t, "n2"), expected, []FaultKind{FaultWrongNonce, FaultWrongNonce}},
		{"missing part", withoutParts, expected, []FaultKind{FaultMissingPart}},
		{"missing grandchild", whole, deeper, []FaultKind{FaultMissingPart}},
		{"other service", whole, Expectation{Service: "logpull", Nonce: "n1"}, []FaultKind{FaultWrongService}},
		{"changed field", bytes.Replace(whole, []byte(`"houseview-1"`), []byte(`"houseview-2"`), 1), expected, []FaultKind{FaultBadSum}},
		{"changed part", bytes.Replace(whole, []byte(`"cropcal-1"`), []byte(`"cropcal-2"`), 1), expected, []FaultKind{FaultBadSum}},
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

func TestEveryPrefixIsFaulty(t *testing.T) {
	whole := makeAnswer(t, "n1")
	for length := range len(whole) {
		faults := Verify(whole[:length], Expectation{Service: "houseview", Nonce: "n1"})
		assert.Assert(t, len(faults) > 0, "prefix of %d bytes", length)
	}
}
