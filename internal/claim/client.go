package claim

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/samber/oops"
)

// exchange sends a message to a peer and returns the decoded answer.
func exchange[A, Q message](ctx context.Context, client *http.Client, peer, path string, outgoing Q) (A, error) {
	var zero A
	errorBuilder := oops.In("claim").With("step", path).With("peer", peer)
	body, err := encode(outgoing)
	if err != nil {
		return zero, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+path, bytes.NewReader(body))
	if err != nil {
		return zero, errorBuilder.Wrap(err)
	}
	request.Header.Set("Content-Type", contentType)
	response, err := client.Do(request)
	if err != nil {
		return zero, errorBuilder.Wrap(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, MaximumMessageBytes+1))
	if err != nil {
		return zero, errorBuilder.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return zero, errorBuilder.Errorf("peer returned status %d", response.StatusCode)
	}
	return decode[A](answer)
}
