// Package machinelist is a test server for the platform's list of live and
// leaving machines. The machines are set through a separate control handler;
// the served list reflects each update only after a configurable lag.
package machinelist
