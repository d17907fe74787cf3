// Package callheader names the headers by which calls carry what the data plane
// needs to know. The names themselves come from the wiring.
package callheader

import (
	"net/http"
	"strings"
)

// Names are the names of headers, in canonical form.
type Names struct {
	// RequestID identifies one try of a request; answers repeat it.
	RequestID string
	// DeadlineMillis is the time left to the caller, in milliseconds.
	DeadlineMillis string
	// Caller is the service on whose machine the request began.
	Caller string
	// ExpectInstance names the only target that may run the request.
	ExpectInstance string
	// Instance names the target that answered.
	Instance string
	// Signature accompanies each complete success of a target.
	Signature string
	// NotExecuted marks an answer by which a target did not run the request.
	NotExecuted string
	// Load is the target's own report: running, waiting and slots.
	Load string
	// APIKey is the key that a caller identifies itself by. Targets never see it.
	APIKey string
	// Tenant names the holder of the caller's key to the target.
	Tenant string
}

// StripInternal removes the headers of a call that only lugspur itself sets, whatever the
// caller wrote there. Most of them are set by the home beside the target.
func (n *Names) StripInternal(header http.Header) {
	for _, name := range []string{n.RequestID, n.DeadlineMillis, n.Caller, n.ExpectInstance, n.Tenant} {
		delete(header, name)
	}
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripConnection removes the headers that concern one connection only,
// including those that the Connection header names.
func StripConnection(header http.Header) {
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		delete(header, name)
	}
}
