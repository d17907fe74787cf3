package overhead

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func serve(t *testing.T, status int) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	t.Cleanup(server.Close)
	return server.URL + "/"
}

func TestBothWaysAreCalledInTurn(t *testing.T) {
	comparison := OneAtATime(t.Context(), serve(t, 200), serve(t, 200), 20)
	assert.Equal(t, comparison.Direct.Latencies.TotalCount(), int64(20))
	assert.Equal(t, comparison.Through.Latencies.TotalCount(), int64(20))
	atRate := AtRate(t.Context(), serve(t, 200), serve(t, 200), 200, 100*time.Millisecond)
	assert.Equal(t, atRate.Direct.Latencies.TotalCount(), int64(20))
	assert.Equal(t, atRate.Through.Latencies.TotalCount(), int64(20))
}

func TestFailedCallsAreNoLatencies(t *testing.T) {
	comparison := OneAtATime(t.Context(), serve(t, 200), serve(t, 503), 5)
	assert.Equal(t, comparison.Direct.Failures, 0)
	assert.Equal(t, comparison.Through.Failures, 5)
	assert.Equal(t, comparison.Through.Latencies.TotalCount(), int64(0))
}

func TestAddedIsTheDifferenceOfQuantiles(t *testing.T) {
	comparison := Comparison{Direct: newWay("direct", ""), Through: newWay("through", "")}
	for i := range 100 {
		latency := time.Duration(i+1) * time.Millisecond
		comparison.Direct.record(latency, nil)
		comparison.Through.record(3*latency, nil)
	}
	for _, quantile := range []float64{50, 99} {
		expected := 2 * time.Duration(quantile) * time.Millisecond
		difference := comparison.Added(quantile) - expected
		assert.Assert(t, difference.Abs() < time.Millisecond, "%s at %g", comparison.Added(quantile), quantile)
	}
}
