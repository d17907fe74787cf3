// Package downstream learns what requests of a route use of each service, over the whole tree of
// calls that they make.
package downstream
