package peering

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestTextsDecodeAsByLibrary guards against a difference between wireTexts and the decoding of
// package cbor, in accepted content as well as in errors.
func TestTextsDecodeAsByLibrary(t *testing.T) {
	check := func(t assert.TestingT, content []byte) {
		var expected []string
		expectedErr := cbor.Unmarshal(content, &expected)
		var decoded struct {
			_     struct{} `cbor:",toarray"`
			Texts wireTexts
		}
		err := cbor.Unmarshal(append([]byte{cborArray | 1}, content...), &decoded)
		assert.Equal(t, err == nil, expectedErr == nil, "% x: %v and %v", content, err, expectedErr)
		if err == nil {
			assert.DeepEqual(t, []string(decoded.Texts), expected)
		}
	}
	for _, content := range [][]byte{
		{0x80},                                   // an empty list
		{0x9f, 0x61, 'a', 0xff},                  // a list of indefinite length
		{0x82, 0x7f, 0x61, 'a', 0xff, 0x61, 'b'}, // a text of indefinite length
		{0x81, 0x61, 0xff},                       // invalid UTF-8
		{0x81, 0x41, 'a'},                        // a byte string
		{0x81, 0x01},                             // a number
		{0x98, 0x01, 0x61, 'a'},                  // a head that is longer than necessary
		{0x81, 0x7a, 0, 0, 0, 1, 'a'},            // a length in four bytes
		{0x82, 0x61, 'a'},                        // a missing element
		{0x9a, 0xff, 0xff, 0xff, 0xff},           // a length without content
		{0xa0},                                   // a map
		{0x61, 'a'},                              // a text
		{0x81, 0xc1, 0x61, 'a'},                  // a tag
		append([]byte{0x81, 0x79, 0x01, 0x00}, []byte(strings.Repeat("x", 256))...),
	} {
		check(t, content)
	}
	rapid.Check(t, func(r *rapid.T) {
		texts := rapid.SliceOf(rapid.String()).Draw(r, "texts")
		content, err := cbor.Marshal(texts)
		assert.NilError(r, err)
		check(r, content)
		check(r, rapid.SliceOfN(rapid.Byte(), 0, 16).Draw(r, "content"))
	})
}

// TestStringsEncodeAsByLibrary guards against a change of the wire format of IDs and addresses,
// which nodes of the previous build decode.
func TestStringsEncodeAsByLibrary(t *testing.T) {
	for _, length := range []int{0, 1, 23, 24, 255, 256, 0xffff} {
		content := make([]byte, length)
		expected, err := cbor.Marshal(content)
		assert.NilError(t, err)
		assert.DeepEqual(t, appendBytes(nil, content), expected)
	}
	id := strings.Repeat("ab.", 40_000) + "ab"
	encoded, err := wireID(id).MarshalCBOR()
	assert.NilError(t, err)
	var packed []byte
	assert.NilError(t, cbor.Unmarshal(encoded, &packed))
	assert.Equal(t, len(packed), 80_002)
	var decoded wireID
	assert.NilError(t, decoded.UnmarshalCBOR(encoded))
	assert.Equal(t, string(decoded), id)
}
