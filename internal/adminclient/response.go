package adminclient

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/lugspur/lugspur/internal/admin"
)

// do sends a request and decodes the answer, or returns the problem that it
// holds.
func (c *Client) do(request *http.Request, step, address string, document any) error {
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return failure(step, address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes))
	if err != nil {
		return failure(step, address, err)
	}
	if response.StatusCode != http.StatusOK {
		return &Error{Step: step, Address: address, Problem: problemOf(response, body)}
	}
	if err := json.Unmarshal(body, document); err != nil {
		return failure(step, address, err)
	}
	return nil
}

// problemOf reads a problem document; from any other answer it makes one.
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
