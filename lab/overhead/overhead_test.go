package overhead

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func startServer(t *testing.T, status int) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	t.Cleanup(server.Close)
	return server.URL + "/"
}

func TestBothPathsReceiveTheSameNumberOfCalls(t *testing.T) {
	comparison := CompareSequential(t.Context(), startServer(t, 200), startServer(t, 200), 20)
	assert.Equal(t, comparison.Direct.Latencies.TotalCount(), int64(20))
	assert.Equal(t, comparison.ThroughNode.Latencies.TotalCount(), int64(20))
	atRate := CompareAtRate(t.Context(), startServer(t, 200), startServer(t, 200), 200, 100*time.Millisecond)
	assert.Equal(t, atRate.Direct.Latencies.TotalCount(), int64(20))
	assert.Equal(t, atRate.ThroughNode.Latencies.TotalCount(), int64(20))
}

func TestFailedCallsAreNotRecordedAsLatencies(t *testing.T) {
	comparison := CompareSequential(t.Context(), startServer(t, 200), startServer(t, 503), 5)
	assert.Equal(t, comparison.Direct.Failures, 0)
	assert.Equal(t, comparison.ThroughNode.Failures, 5)
	assert.Equal(t, comparison.ThroughNode.Latencies.TotalCount(), int64(0))
}

func TestAddedIsTheDifferenceOfQuantiles(t *testing.T) {
	comparison := Comparison{Direct: newPathStats("direct", ""), ThroughNode: newPathStats("through", "")}
	for i := range 100 {
		latency := time.Duration(i+1) * time.Millisecond
		comparison.Direct.record(latency, nil)
		comparison.ThroughNode.record(3*latency, nil)
	}
	for _, quantile := range []float64{50, 99} {
		expected := 2 * time.Duration(quantile) * time.Millisecond
		difference := comparison.Added(quantile) - expected
		assert.Assert(t, difference.Abs() < time.Millisecond, "%s at %g", comparison.Added(quantile), quantile)
	}
}
