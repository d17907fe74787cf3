package peering

import (
	"encoding/binary"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// The types in this file decode the strings of messages without reflection. They accept the
// same encodings as package cbor, to which they leave the unusual ones.

// Major types of CBOR data items, in the position that they have in the first byte.
const (
	cborBytes byte = 2 << 5
	cborText  byte = 3 << 5
	cborArray byte = 4 << 5
	// cborTypeMask selects the major type of a first byte, cborInfoMask its argument.
	cborTypeMask byte = 7 << 5
	cborInfoMask byte = 1<<5 - 1
)

// Values of the argument in a first byte: smaller ones are lengths, and these state that the
// length follows in one or two bytes.
const (
	cborLength8  = 24
	cborLength16 = 25
	cborLength32 = 26
)

// cutHead splits a data item of definite length below 64 Ki into its major type, its length and
// the content after its head. It returns false for other data items.
func cutHead(content []byte) (major byte, length int, rest []byte, ok bool) {
	if len(content) == 0 {
		return 0, 0, nil, false
	}
	major, info, rest := content[0]&cborTypeMask, content[0]&cborInfoMask, content[1:]
	switch {
	case info < cborLength8:
		return major, int(info), rest, true
	case info == cborLength8 && len(rest) >= 1:
		return major, int(rest[0]), rest[1:], true
	case info == cborLength16 && len(rest) >= 2:
		return major, int(binary.BigEndian.Uint16(rest)), rest[2:], true
	}
	return 0, 0, nil, false
}

// appendBytes appends the encoding of a byte string.
func appendBytes(encoded, content []byte) []byte {
	switch length := len(content); {
	case length < cborLength8:
		encoded = append(encoded, cborBytes|byte(length))
	case length <= 0xff:
		encoded = append(encoded, cborBytes|cborLength8, byte(length))
	default:
		encoded = append(encoded, cborBytes|cborLength16)
		encoded = binary.BigEndian.AppendUint16(encoded, uint16(length))
	}
	return append(encoded, content...)
}

// maxHeadBytes is the size of the largest head that appendBytes writes.
const maxHeadBytes = 3

var errInvalidText = errors.New("text is not valid UTF-8")

// decodeString decodes a byte string or a text string. The content of a byte string is only
// valid while that of the message is.
func decodeString(content []byte) (text string, packed []byte, err error) {
	major, length, rest, ok := cutHead(content)
	switch {
	case ok && major == cborBytes && length == len(rest):
		return "", rest, nil
	case ok && major == cborText && length == len(rest):
		if !utf8.Valid(rest) {
			return "", nil, errInvalidText
		}
		return string(rest), nil, nil
	}
	var decoded any
	if err := cbor.Unmarshal(content, &decoded); err != nil {
		return "", nil, err
	}
	switch value := decoded.(type) {
	case string:
		return value, nil, nil
	case []byte:
		return "", value, nil
	}
	return "", nil, fmt.Errorf("unexpected type %T of a string", decoded)
}

// wireTexts is a list of text strings.
type wireTexts []string

// UnmarshalCBOR decodes the list. The texts are parts of one string, which takes one allocation.
func (t *wireTexts) UnmarshalCBOR(content []byte) error {
	major, count, rest, ok := cutHead(content)
	if !ok || major != cborArray || count > len(rest) {
		return cbor.Unmarshal(content, (*[]string)(t))
	}
	all := string(rest)
	texts := make([]string, 0, count)
	for range count {
		major, length, following, ok := cutHead(rest)
		if !ok || major != cborText || length > len(following) {
			return cbor.Unmarshal(content, (*[]string)(t))
		}
		start := len(all) - len(following)
		text := all[start : start+length]
		if !utf8.ValidString(text) {
			return errInvalidText
		}
		texts = append(texts, text)
		rest = following[length:]
	}
	*t = texts
	return nil
}
