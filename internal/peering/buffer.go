package peering

import (
	"bytes"
	"sync"
)

// bufferPool holds buffers for encoded messages.
var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBytes is the capacity of the largest buffer that is returned to the pool.
const maxPooledBytes = 16 << 10

func newBuffer() *bytes.Buffer { return bufferPool.Get().(*bytes.Buffer) }

// freeBuffer returns the buffer to the pool unless it has grown too large.
func freeBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBytes {
		buffer.Reset()
		bufferPool.Put(buffer)
	}
}
