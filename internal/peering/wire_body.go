package peering

import (
	"bytes"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
)

// Keys of the bodies in encoded messages.
const (
	callBodyKey  byte = 7
	replyBodyKey byte = 5
)

// maxInlineBody is the size of the largest body that is copied into its encoded message. A larger
// one is written after the rest of the message.
const maxInlineBody = 16 << 10

// cborMap is the major type of a map.
const cborMap byte = 5 << 5

// wireBody is a body. A decoded one is part of the message.
type wireBody []byte

// UnmarshalCBOR decodes the body without copying it.
func (b *wireBody) UnmarshalCBOR(content []byte) error {
	major, length, rest, ok := cutHead(content)
	if !ok {
		major, length, rest, ok = cutLongHead(content)
	}
	if !ok || major != cborBytes || length != len(rest) {
		return cbor.Unmarshal(content, (*[]byte)(b))
	}
	*b = rest[:length:length]
	return nil
}

// cutLongHead is cutHead for data items whose length takes four bytes.
func cutLongHead(content []byte) (major byte, length int, rest []byte, ok bool) {
	const headBytes = 5
	if len(content) < headBytes || content[0]&cborInfoMask != cborLength32 {
		return 0, 0, nil, false
	}
	return content[0] & cborTypeMask, int(binary.BigEndian.Uint32(content[1:])), content[headBytes:], true
}

// encodedMessage is a message in two parts, so that a large body is not copied: the body is the
// last entry of the message.
type encodedMessage struct {
	envelope, body []byte
}

// size returns the size of the message, zero if it is nil.
func (m *encodedMessage) size() int {
	if m == nil {
		return 0
	}
	return len(m.envelope) + len(m.body)
}

// encodeCallMessage encodes the call. The envelope is part of the buffer.
func (c *Codec) encodeCallMessage(buffer *bytes.Buffer, call *Call) encodedMessage {
	if len(call.Body) <= maxInlineBody {
		c.encodeCall(buffer, call)
		return encodedMessage{envelope: buffer.Bytes()}
	}
	withoutBody := *call
	withoutBody.Body = nil
	c.encodeCall(buffer, &withoutBody)
	return encodedMessage{envelope: announceBody(buffer.Bytes(), callBodyKey, len(call.Body)), body: call.Body}
}

// encodeReplyMessage encodes the reply.
func (c *Codec) encodeReplyMessage(reply *Reply) *encodedMessage {
	if len(reply.Body) <= maxInlineBody {
		return &encodedMessage{envelope: c.encodeReply(reply)}
	}
	withoutBody := *reply
	withoutBody.Body = nil
	return &encodedMessage{envelope: announceBody(c.encodeReply(&withoutBody), replyBodyKey, len(reply.Body)), body: reply.Body}
}

// announceBody returns the beginning of a message with the entries of the encoded map and a last
// entry, whose byte string of the length follows.
func announceBody(encoded []byte, key byte, length int) []byte {
	// Messages have fewer than 256 entries and thus a head of one or two bytes.
	_, entries, rest, _ := cutHead(encoded)
	const addedBytes = 8
	message := make([]byte, 0, len(encoded)+addedBytes)
	message = appendHead(message, cborMap, entries+1)
	message = append(message, rest...)
	message = append(message, key)
	return appendHead(message, cborBytes, length)
}

// appendHead appends the head of a data item.
func appendHead(encoded []byte, major byte, length int) []byte {
	switch {
	case length < cborLength8:
		return append(encoded, major|byte(length))
	case length <= 0xff:
		return append(encoded, major|cborLength8, byte(length))
	case length <= 0xffff:
		return binary.BigEndian.AppendUint16(append(encoded, major|cborLength16), uint16(length))
	}
	return binary.BigEndian.AppendUint32(append(encoded, major|cborLength32), uint32(length))
}
