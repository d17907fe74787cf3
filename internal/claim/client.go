package claim

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/samber/oops"
)

// exchange sends a message to a peer and returns the decoded response.
func exchange[Resp, Req message](ctx context.Context, client *http.Client, peer, path string, outgoing Req) (Resp, error) {
	var zero Resp
	errorBuilder := oops.In("claim").With("step", path).With("peer", peer)
	requestBody, err := encode(outgoing)
	if err != nil {
		return zero, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+path, bytes.NewReader(requestBody))
	if err != nil {
		return zero, errorBuilder.Wrap(err)
	}
	request.Header.Set("Content-Type", contentType)
	response, err := client.Do(request)
	if err != nil {
		return zero, errorBuilder.Wrap(err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, MaximumMessageBytes+1))
	if err != nil {
		return zero, errorBuilder.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return zero, errorBuilder.Errorf("peer returned status %d", response.StatusCode)
	}
	return decode[Resp](responseBody)
}
