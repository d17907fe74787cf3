package memorybudget

import (
	"errors"
	"io"
)

// ErrTooLarge means that a message is larger than permitted.
var ErrTooLarge = errors.New("the message is too large")

const (
	// growthFactor is the factor by which the memory for a message of known length grows. It bounds
	// the memory that a sender can take without sending, and the bytes that are copied.
	growthFactor = 8
	// maxFirstBytes bounds the memory that is first reserved for a message of known length.
	maxFirstBytes = 4 << 10
	// firstUnknownBytes and maxPartBytes are the sizes of the first and of the largest part of a
	// message of unknown length. Each part has twice the size of the one before.
	firstUnknownBytes = 1 << 10
	maxPartBytes      = 1 << 20
)

// Read reads a message of the length, which is negative if it is unknown, and of at most maxBytes.
// The reservation grows as the bytes arrive, so that a message that is announced but not sent takes
// little. The error is ErrExceeded, ErrTooLarge or one of the reader; io.ErrUnexpectedEOF means
// that the message is shorter than its length.
func Read(reader io.Reader, length, maxBytes int64, r *Reservation) ([]byte, error) {
	switch {
	case length > maxBytes:
		return nil, ErrTooLarge
	case length < 0:
		return readUnknown(reader, maxBytes, r)
	}
	var content []byte
	for size := firstBytes(length); ; size = min(size*growthFactor+growthFactor, length) {
		if !r.Grow(size) {
			return nil, ErrExceeded
		}
		larger := make([]byte, size)
		received := copy(larger, content)
		r.discard(int64(len(content)))
		content = larger
		if _, err := io.ReadFull(reader, content[received:]); err != nil {
			return nil, unexpected(err)
		}
		if size == length {
			return content, nil
		}
	}
}

// firstBytes returns the memory that is first reserved for a message of the length, such that the
// last growth ends at the length.
func firstBytes(length int64) int64 {
	for length > maxFirstBytes {
		length /= growthFactor
	}
	return length
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readUnknown reads a message of unknown length. A large one is read in parts that are joined at its
// end, and room for both is reserved, so that a message without end leaves no copies.
func readUnknown(reader io.Reader, maxBytes int64, r *Reservation) ([]byte, error) {
	var parts [][]byte
	total := int64(0)
	for partBytes := int64(firstUnknownBytes); ; partBytes = min(2*partBytes, maxPartBytes) {
		if !r.Grow(2 * (total + partBytes)) {
			return nil, ErrExceeded
		}
		part := make([]byte, partBytes)
		n, err := fill(reader, part)
		parts = append(parts, part[:n])
		total += int64(n)
		switch {
		case total > maxBytes:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			content := join(parts, total)
			r.shrink(max(total, int64(cap(content))))
			return content, nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until the buffer is full or the reader returns an error, which is io.EOF at the end of
// the message. io.ReadFull would return io.ErrUnexpectedEOF there, as readers of chunks do if their
// sender broke off.
func fill(reader io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var received int
		received, err = reader.Read(buffer[n:])
		n += received
	}
	return n, err
}

// join returns the parts as one slice, which is the first part if there is no other.
func join(parts [][]byte, total int64) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	content := make([]byte, 0, total)
	for _, part := range parts {
		content = append(content, part...)
	}
	return content
}
