package configuration

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/samber/oops"
)

// post sends a message to a peer and decodes the response into result, unless
// result is nil.
func (s *Syncer) post(ctx context.Context, address, path string, encoded []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.PeerTimeout)
	defer cancel()
	errContext := oops.In("configuration").With("step", path).With("peer", address)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return errContext.Wrap(err)
	}
	request.Header.Set("Content-Type", contentType)
	s.counters.sentBytes.Add(int64(len(encoded)))
	response, err := s.options.Client.Do(request)
	if err != nil {
		return errContext.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		_, _ = io.CopyN(io.Discard, response.Body, 1<<10)
		return errContext.Errorf("peer returned status %s", response.Status)
	}
	if result == nil {
		return nil
	}
	size, err := decodeMessage(response.Body, result)
	s.counters.receivedBytes.Add(int64(size))
	return errContext.Wrapf(err, "decode response")
}
