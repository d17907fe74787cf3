package configuration

import "net/http"

// maxConcurrentPulls limits the pulls served concurrently; further pulls are
// rejected and can be sent to another peer.
const maxConcurrentPulls = 8

// Register adds the peer endpoints to the mux of the peer listener.
func (s *Syncer) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathPull, s.servePull)
	mux.HandleFunc("POST "+PathPush, s.servePush)
}

func (s *Syncer) servePull(w http.ResponseWriter, r *http.Request) {
	select {
	case s.pullSlots <- struct{}{}:
		defer func() { <-s.pullSlots }()
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many pulls", http.StatusServiceUnavailable)
		return
	}
	var request pullRequest
	if !s.decodeRequest(w, r, &request) {
		return
	}
	s.mergeDrains(request.Drains, 0)
	response, err := s.buildPullResponse(request)
	if err != nil {
		s.options.Log.WithError(err).Error("cannot serve a pull")
		http.Error(w, "cannot encode versions", http.StatusInternalServerError)
		return
	}
	s.counters.pullsServed.Add(1)
	s.counters.sentBytes.Add(int64(writeMessage(w, response)))
}

func (s *Syncer) servePush(w http.ResponseWriter, r *http.Request) {
	var message pushMessage
	if !s.decodeRequest(w, r, &message) {
		return
	}
	versions, err := decodeEntries(message.Entries)
	if err != nil {
		s.options.Log.WithError(err).WithField("peer", r.RemoteAddr).Warn("peer pushed an invalid object")
		http.Error(w, "invalid entry", http.StatusBadRequest)
		return
	}
	changed := s.replica.Apply(versions...)
	if next := max(message.Hops, 0) + 1; next < maxHops {
		s.pushQueue.addVersions(changed, next)
	}
	s.mergeDrains(message.Drains, max(message.Hops, 0)+1)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Syncer) decodeRequest(w http.ResponseWriter, r *http.Request, message any) bool {
	size, err := decodeMessage(r.Body, message)
	s.counters.receivedBytes.Add(int64(size))
	if err != nil {
		http.Error(w, "invalid message", http.StatusBadRequest)
	}
	return err == nil
}

// buildPullResponse returns the requested page of versions, or a response with
// FullRequired if the delta would not be sufficient.
func (s *Syncer) buildPullResponse(request pullRequest) (pullResponse, error) {
	base := request.Floor
	if request.Full {
		base = 0
	}
	delta := s.replica.Since(max(base, request.After-1), 0)
	delta.skipThrough(request.After, request.AfterKey)
	response := pullResponse{Digest: delta.Digest, Ready: delta.Ready, Drains: encodeDrains(s.drains.Expiries())}
	response.Digest.DrainSum = s.drains.Sum()
	if !request.Full && !canServeDelta(delta.Digest, request.Floor) {
		response.FullRequired = true
		return response, nil
	}
	remaining := len(delta.Versions)
	if request.Max > 0 {
		delta.Versions = delta.Versions[:min(remaining, request.Max)]
	}
	entries, count, err := encodeVersions(delta.Versions)
	response.Entries = entries
	response.More = count < remaining
	return response, err
}

// mergeDrains merges the emergency drains of a peer. If one of them is new, it
// queues the drains for a push with the hop count, unless maxHops is reached.
func (s *Syncer) mergeDrains(drains []wireDrain, hops int) {
	if len(drains) > MaxEmergencyDrains {
		return
	}
	if s.drains.Merge(decodeDrains(drains)) && hops < maxHops {
		s.pushQueue.addDrains(hops)
	}
}
