package problem

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWriteAndParse(t *testing.T) {
	cause := errors.New("cause")
	written := New(Overloaded, ExecutedNo, "home", "t-1", "queue-full").WithRetryAfter(1500 * time.Millisecond).WithCause(cause)
	written.RequestID = "r1"
	assert.ErrorIs(t, written, cause)
	recorder := httptest.NewRecorder()
	written.Write(recorder)

	response := recorder.Result()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Content-Type"), ContentType)
	assert.Equal(t, response.Header.Get(ExecutedHeader), "no")
	assert.Equal(t, response.Header.Get("Retry-After"), "2")
	assert.Equal(t, response.Header.Get("Cache-Control"), "no-store")
	assert.Equal(t, response.Header.Get("Content-Length"), strconv.Itoa(recorder.Body.Len()))

	parsed, err := Parse(recorder.Body.Bytes())
	assert.NilError(t, err)
	expected := *written
	expected.cause = nil
	assert.Equal(t, *parsed, expected)
}

func TestRetryAfterRoundsUpToSeconds(t *testing.T) {
	for delay, expected := range map[time.Duration]int{
		0: 1, time.Millisecond: 1, time.Second: 1, time.Second + 1: 2, 90 * time.Second: 90, -time.Second: 1,
	} {
		assert.Equal(t, New(Overloaded, ExecutedNo, "", "", "").WithRetryAfter(delay).RetryAfterSeconds, expected, "%s", delay)
	}
}

func TestNoRetryAfterForPermanentFailure(t *testing.T) {
	recorder := httptest.NewRecorder()
	New(UnknownService, ExecutedNo, "receive", "n-1", "").Write(recorder)
	_, present := recorder.Header()["Retry-After"]
	assert.Assert(t, !present)
}

func TestEveryReasonHasAnErrorStatus(t *testing.T) {
	for reason := range statuses {
		assert.Check(t, reason.Status() >= 400 && reason.Status() < 600, "%s: %d", reason, reason.Status())
	}
	assert.Equal(t, Reason("of a later version").Status(), http.StatusInternalServerError)
}

func TestParseRejects(t *testing.T) {
	valid := string(New(Overloaded, ExecutedNo, "home", "t-1", "").Document())
	_, err := Parse([]byte(valid))
	assert.NilError(t, err)
	for name, document := range map[string]string{
		"empty":          "",
		"cut":            valid[:len(valid)-1],
		"not an object":  `"x"`,
		"foreign type":   strings.Replace(valid, typePrefix, "urn:other:", 1),
		"no reason":      strings.Replace(valid, string(Overloaded), "", 1),
		"status 0":       strings.Replace(valid, `"status":503`, `"status":0`, 1),
		"status 99":      strings.Replace(valid, `"status":503`, `"status":99`, 1),
		"status 200":     strings.Replace(valid, `"status":503`, `"status":200`, 1),
		"executed maybe": strings.Replace(valid, `"executed":"no"`, `"executed":"maybe"`, 1),
		"executed empty": strings.Replace(valid, `"executed":"no"`, `"executed":""`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, document != valid)
			_, err := Parse([]byte(document))
			assert.Assert(t, err != nil, "parsed %s", document)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(New(Overloaded, ExecutedNo, "home", "t-1", "x").Document())
	f.Add([]byte(`{"type":"urn:lugspur:problem:x","retry_after_seconds":-1}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		parsed, err := Parse(document)
		if err != nil {
			return
		}
		assert.Assert(t, json.Valid(parsed.Document()))
		parsed.Write(httptest.NewRecorder())
	})
}
