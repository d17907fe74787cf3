// Package callheader holds the names of the headers that carry the data plane's metadata of a
// call. The names themselves are defined in package platform.
package callheader

import (
	"net/http"
	"strings"
)

// Names holds header names in canonical form.
type Names struct {
	// RequestID identifies one attempt of a request; responses repeat it.
	RequestID string
	// DeadlineMillis is the time left until the caller's deadline, in milliseconds.
	DeadlineMillis string
	// Caller is the service on whose machine the request originated.
	Caller string
	// ExpectInstance names the only target instance that may execute the request.
	ExpectInstance string
	// Instance names the target instance that responded.
	Instance string
	// Signature is set on every complete successful response of a target.
	Signature string
	// NotExecuted marks a response to a request that the target did not execute.
	NotExecuted string
	// Load is the target's load report: running calls, waiting calls, slots and, at some
	// targets, its pace in percent, separated by commas.
	Load string
	// RateLimit announces the calls per second that the target accepts from all nodes
	// together, a decimal number; responses without it announce no limit.
	RateLimit string
	// Leaving is "1" on the responses of a target that is about to shut down.
	Leaving string
	// APIKey is the caller's API key. It is never passed to targets.
	APIKey string
	// Tenant tells the target which tenant holds the caller's API key.
	Tenant string
}

// StripInternal removes the request headers that only lugspur may set, including any set by the
// caller. Most of them are set by the node beside the target.
func (n *Names) StripInternal(header http.Header) {
	for _, name := range []string{n.RequestID, n.DeadlineMillis, n.Caller, n.ExpectInstance, n.Tenant} {
		delete(header, name)
	}
}

// connectionHeaders are hop-by-hop headers, which are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripConnection removes the hop-by-hop headers, including those listed in the Connection
// header.
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
