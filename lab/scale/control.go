package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"
)

const (
	// controlTimeout bounds one request to a group's control.
	controlTimeout = time.Minute
	// maxControlBytes bounds an answer of a group's control.
	maxControlBytes = 256 << 20
)

// call asks a group's control.
func call[Answer any](ctx context.Context, address, path string, request any) (Answer, error) {
	var answer Answer
	failed := oops.In("scale").With("step", path).With("peer", address)
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	encoded, err := json.Marshal(request)
	if err != nil {
		return answer, failed.Wrap(err)
	}
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return answer, failed.Wrap(err)
	}
	response, err := http.DefaultClient.Do(message)
	if err != nil {
		return answer, failed.Wrap(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxControlBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	if err == nil {
		err = json.Unmarshal(content, &answer)
	}
	return answer, failed.Wrap(err)
}

// callAll asks all groups at once and returns their answers in order.
func callAll[Answer any](ctx context.Context, f *fleet, path string, request any) ([]Answer, error) {
	answers := make([]Answer, len(f.groups))
	calls, ctx := errgroup.WithContext(ctx)
	for index, address := range f.groups {
		calls.Go(func() error {
			answer, err := call[Answer](ctx, address, path, request)
			answers[index] = answer
			return err
		})
	}
	return answers, calls.Wait()
}
