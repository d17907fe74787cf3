package cluster

// Launch starts a process that isn't part of a cluster. Its output is appended to
// the log file. If ready is not nil, the first line of its standard output is
// decoded into it as JSON.
func Launch(name, logFile string, ready any, program string, arguments ...string) (*Process, error) {
	return startProcess(name, logFile, ready, program, arguments...)
}

// FreeAddresses returns loopback addresses with free ports for a node.
func FreeAddresses() (Addresses, error) { return freeAddresses() }
