package scale

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// ticksPerSecond is the unit of processor times in /proc on Linux.
const ticksPerSecond = 100

// usage is what a process has used.
type usage struct {
	processor time.Duration
	// resident is its memory in bytes, shared pages of files such as the program
	// included; anonymous is without them.
	resident, anonymous int64
}

// usageOf reads the usage of a process.
func usageOf(processID int) (usage, error) {
	directory := "/proc/" + strconv.Itoa(processID)
	stat, err := os.ReadFile(directory + "/stat")
	if err != nil {
		return usage{}, oops.In("scale").With("step", "read usage").Wrap(err)
	}
	memory, err := os.ReadFile(directory + "/statm")
	if err != nil {
		return usage{}, oops.In("scale").With("step", "read usage").Wrap(err)
	}
	return parseUsage(string(stat), string(memory), os.Getpagesize())
}

// parseUsage reads the user and system time out of stat, whose second field
// may hold blanks, and the resident pages out of statm.
func parseUsage(stat, memory string, pageSize int) (usage, error) {
	const userField, systemField = 11, 12
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	pages := strings.Fields(memory)
	if len(fields) <= systemField || len(pages) < 3 {
		return usage{}, oops.In("scale").With("step", "read usage").Errorf("unknown form of %q", stat)
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	resident, residentErr := strconv.ParseInt(pages[1], 10, 64)
	shared, sharedErr := strconv.ParseInt(pages[2], 10, 64)
	if errors.Join(userErr, systemErr, residentErr, sharedErr) != nil {
		return usage{}, oops.In("scale").With("step", "read usage").Errorf("unknown form of %q", stat)
	}
	return usage{
		processor: time.Duration(user+system) * time.Second / ticksPerSecond,
		resident:  resident * int64(pageSize),
		anonymous: (resident - shared) * int64(pageSize),
	}, nil
}
