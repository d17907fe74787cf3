package test

import (
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

// TestInvalidStatusOfTargetFailsRequestAtOnce guards against a caller that receives such a status,
// or that waits until its deadline.
func TestInvalidStatusOfTargetFailsRequestAtOnce(t *testing.T) {
	p := startPlatform(t, "a")
	node := p.nodes[0]
	for _, statusLine := range []string{"HTTP/1.1 000 None", "HTTP/1.1 099 None", "HTTP/1.1 600 None", "HTTP/1.1 +20 OK", "HTTP/2.0 200 OK"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(method+" "+statusLine, func(t *testing.T) {
				node.target.SetFaults(platformstub.TargetFaults{StatusLine: statusLine})
				path := "/read/x"
				if method == http.MethodPost {
					path = "/once/x"
				}
				request, id := p.request(node, method, path)
				started := time.Now()
				status, header, _ := doRequest(request)
				took := time.Since(started)
				assert.Equal(t, status, http.StatusBadGateway)
				assert.Equal(t, header.Get("Lugspur-Executed"), "unknown")
				assert.Equal(t, header.Get("Lugspur-Response-Signature"), "")
				assert.Assert(t, took < 2*time.Second, "answered after %v", took)
				assert.Equal(t, node.target.Runs()[id], 1)
				node.target.SetFaults(platformstub.TargetFaults{})
				p.awaitServed(node, path)
				log, err := os.ReadFile(node.log)
				assert.NilError(t, err)
				quoted := strconv.Quote(strconv.Quote(statusLine))
				assert.Assert(t, strings.Contains(string(log), quoted[1:len(quoted)-1]), "the log does not name the status")
			})
		}
	}
}
