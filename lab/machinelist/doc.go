// Package machinelist is the lab's stand-in for the platform's list of live
// and leaving machines. The list that it shows lags behind the truth, which is
// set through a separate control handler.
package machinelist
