package platformstub

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxEndless bounds the time for which an endless response is sent, for clients that never close
// the connection.
const maxEndless = 10 * time.Second

// endlessChunkBytes is the size of one write of an endless response.
const endlessChunkBytes = 64 << 10

// invalidStatuses are the statuses that a target with TargetFaults.InvalidStatusEvery sends in turn.
var invalidStatuses = []string{"000", "099", "600", "999"}

// endlessHeaders are the framings that a target with TargetFaults.EndlessEvery uses in turn: chunks,
// the end of the connection, and a length that is never reached.
var endlessHeaders = []string{"Transfer-Encoding: chunked\r\n", "Connection: close\r\n", "Content-Length: 900000000000\r\n"}

// sendInvalidStatus sends a response whose status is not a valid one and closes the connection.
func (t *Target) sendInvalidStatus(w http.ResponseWriter, id string, count uint64) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	status := invalidStatuses[count%uint64(len(invalidStatuses))]
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s Odd\r\nLugspur-Attempt-Id: %s\r\nLugspur-Response-Signature: signed-by-%s\r\nContent-Length: 3\r\n\r\nodd", status, id, t.ID)
}

// sendEndless sends a response whose body does not end before the client closes the connection.
func (t *Target) sendEndless(w http.ResponseWriter, id string, count uint64) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(maxEndless))
	framing := endlessHeaders[count%uint64(len(endlessHeaders))]
	_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nLugspur-Attempt-Id: %s\r\nLugspur-Response-Signature: signed-by-%s\r\n%s\r\n", id, t.ID, framing)
	chunk := make([]byte, endlessChunkBytes)
	for err == nil {
		if framing == endlessHeaders[0] {
			_, err = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(chunk), chunk)
			continue
		}
		_, err = connection.Write(chunk)
	}
}

// writePadded writes the response with the given number of bytes before it.
func writePadded(w io.Writer, padding int, response string) {
	chunk := make([]byte, endlessChunkBytes)
	for padding > 0 {
		n, err := w.Write(chunk[:min(padding, len(chunk))])
		if err != nil {
			return
		}
		padding -= n
	}
	_, _ = io.WriteString(w, response)
}
