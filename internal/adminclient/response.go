package adminclient

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/lugspur/lugspur/internal/admin"
)

// do sends a request and decodes the response into document. The error of an
// unsuccessful response contains its problem document.
func (c *Client) do(request *http.Request, step, address string, document any) error {
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return newError(step, address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes))
	if err != nil {
		return newError(step, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return &Error{Step: step, Address: address, Problem: problemOf(response, body)}
	}
	if err := json.Unmarshal(body, document); err != nil {
		return newError(step, address, err)
	}
	return nil
}

// problemOf decodes a problem document; for any other response it creates one
// from the status.
func problemOf(response *http.Response, body []byte) *admin.Problem {
	var problem admin.Problem
	isProblem := response.Header.Get("Content-Type") == admin.ProblemContentType
	if isProblem && json.Unmarshal(body, &problem) == nil && problem.Status == response.StatusCode {
		return &problem
	}
	return &admin.Problem{
		Title:  http.StatusText(response.StatusCode),
		Status: response.StatusCode,
		Detail: "the answer is not one of the administration API",
	}
}
