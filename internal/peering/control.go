package peering

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/memorybudget"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/replica"
)

// maxStartNoticeBytes is the maximum size of a notice of a started target. Records have a few
// hundred bytes.
const maxStartNoticeBytes = 4 << 10

// control returns the handler of a message other than a call, of at most maxBytes. The function
// handles the message and returns the encoded answer, and false if the message is invalid.
func (s *server) control(maxBytes int64, handle func(content []byte) (answer []byte, valid bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		memory := s.Memory.Reservation(memorybudget.Control)
		defer memory.Release()
		content, err := memorybudget.Read(r.Body, r.ContentLength, maxBytes, &memory)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		answer, valid := handle(content)
		if !valid {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		writeResponse(w, answer)
	}
}

func (s *server) answerQuery(content []byte) (answer []byte, valid bool) {
	var query replica.Query
	if cbor.Unmarshal(content, &query) != nil {
		return nil, false
	}
	return encode(s.AntiEntropy.AnswerQuery(&query)), true
}

func (s *server) handleNotice(content []byte) (answer []byte, valid bool) {
	var notice quarantine.Notice
	if cbor.Unmarshal(content, &notice) != nil {
		return nil, false
	}
	s.Quarantine.HandleNotice(&notice)
	return nil, true
}

func (s *server) handleDeparture(content []byte) (answer []byte, valid bool) {
	var departure registry.Departure
	if cbor.Unmarshal(content, &departure) != nil || departure.Validate() != nil {
		return nil, false
	}
	s.Departures.HandleDeparture(departure)
	return nil, true
}

func (s *server) handleStart(content []byte) (answer []byte, valid bool) {
	var notice registry.StartNotice
	if cbor.Unmarshal(content, &notice) != nil || notice.Validate() != nil {
		return nil, false
	}
	s.Starts.HandleStart(notice)
	return nil, true
}

func (s *server) issuePermits(content []byte) (answer []byte, valid bool) {
	var request ratelimit.PermitRequest
	if request.Decode(content) != nil || !request.Valid() {
		return nil, false
	}
	return encode(s.Permits.Issue(&request).Wire()), true
}
