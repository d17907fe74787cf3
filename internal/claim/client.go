package claim

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/samber/oops"
)

// exchange sends a message to a peer and returns its answer.
func exchange[A, Q message](ctx context.Context, client *http.Client, peer, path string, q Q) (A, error) {
	var none A
	failure := oops.In("claim").With("step", path).With("peer", peer)
	body, err := encode(q)
	if err != nil {
		return none, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+path, bytes.NewReader(body))
	if err != nil {
		return none, failure.Wrap(err)
	}
	request.Header.Set("Content-Type", contentType)
	response, err := client.Do(request)
	if err != nil {
		return none, failure.Wrap(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, MaximumMessageBytes+1))
	if err != nil {
		return none, failure.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return none, failure.Errorf("peer answered status %d", response.StatusCode)
	}
	return decode[A](answer)
}
