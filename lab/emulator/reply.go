package emulator

import (
	"context"
	"net/http"
	"strconv"

	"github.com/lugspur/lugspur/lab/answer"
)

// answer writes the answer of an execution whose work is done, or fails as the
// injected faults require.
func (e *execution) answer(ctx context.Context, w http.ResponseWriter, parts []answer.Answer) Outcome {
	t := e.target
	body, err := answer.Answer{
		Service:   t.service.Name,
		Target:    t.settings.Name,
		RequestID: e.record.RequestID,
		Nonce:     e.record.Nonce,
		Parts:     parts,
		Padding:   answer.Padding(e.record.Nonce, e.work.AnswerBytes),
	}.Encode()
	if err != nil {
		http.Error(w, "encode answer", http.StatusInternalServerError)
		return OutcomeFault
	}
	t.waitUnfrozen(ctx)
	faults := t.currentFaults()
	if t.drawFault(faults.ResetRate) {
		return resetAnswer(w)
	}
	if t.drawFault(faults.ErrorRate) {
		http.Error(w, "injected error", http.StatusInternalServerError)
		return OutcomeFault
	}
	w.Header().Set("Content-Type", "application/json")
	if !faults.Chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if t.drawFault(faults.TruncateRate) {
		return truncateAnswer(w, body)
	}
	return writeAnswer(w, body, faults.Chunked)
}

func writeAnswer(w http.ResponseWriter, body []byte, chunked bool) Outcome {
	if chunked {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	if _, err := w.Write(body); err != nil {
		return OutcomeCancelled
	}
	return OutcomeComplete
}

// truncateAnswer writes half of an answer. execute aborts the connection for
// OutcomeTruncated.
func truncateAnswer(w http.ResponseWriter, body []byte) Outcome {
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	return OutcomeTruncated
}

func resetAnswer(w http.ResponseWriter) Outcome {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		reset(conn)
	}
	return OutcomeFault
}
