package cluster

// Launch starts one process outside a cluster. Its log goes to the file; the
// first line of its standard output, which must be JSON, is read into ready,
// if that is not nil.
func Launch(name, logFile string, ready any, program string, arguments ...string) (*Process, error) {
	return startProcess(name, logFile, ready, program, arguments...)
}

// FreeAddresses finds free ports for a node on the loopback interface.
func FreeAddresses() (Addresses, error) { return freeAddresses() }
