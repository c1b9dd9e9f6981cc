// Package ingress limits what the clients of a caller port can take of a process: memory
// for headers and bodies that are being read or wait, and connections. Ordinary requests
// are neither delayed nor refused by it.
//
// A Guard wraps the listener and the handler of an http.Server. The connections that it
// returns count what net/http reads, and charge a budget before net/http parses it.
package ingress

import (
	"math"
	"syscall"
	"time"
)

// Limits bound a caller port.
type Limits struct {
	Memory int64 // for data being read or held by waiting requests, in bytes
	Conns  int
	// BodyTime bounds the time that a body takes to arrive. 0 leaves it to the server.
	BodyTime time.Duration
}

const (
	// reservedFDs are kept for files.
	reservedFDs = 200
	// otherFDs are kept for peers, backend servers, the store and other ports: links to
	// and from 45 instances, and one to two connections to each of 350 servers.
	otherFDs = 800
	// textMB is the resident part of the program itself, which the limit of the
	// garbage collector doesn't cover.
	textMB = 16
	// baseMB is what the process needs for its work without hostile clients: 19 MB
	// resident were measured, textMB partly among them.
	baseMB = 18
	// connShare is the part of the machine's memory that connections may take.
	connShare = 8
	// minMachineMB is assumed if the memory of this machine can't be read.
	minMachineMB = 1024
	// minBudget serves the largest legal request.
	minBudget = 4 << 20
)

// socketBytes is the receive buffer of a connection. The kernel doubles what is set, and
// would let it grow to several megabytes if it were not.
const socketBytes = 2 * socketOption

// BodyTime is how long a body may take: the largest one, of 262,144 bytes, arrives at
// 26 KB/s within it, a hundredth of the slowest link of an instance (19 Mbit/s).
const BodyTime = 10 * time.Second

// LimitsFor returns the limits for a machine with this memory and for a process with
// this many file descriptors. For 0, those of this machine and process count, and
// connections are not limited by memory.
func LimitsFor(memoryMB, maxFDs int) Limits {
	if maxFDs <= 0 {
		maxFDs = processFDs()
	}
	fds := maxFDs - reservedFDs
	fds -= min(otherFDs, fds/2)
	if memoryMB <= 0 {
		l := LimitsFor(machineMB(), maxFDs)
		l.Conns = max(fds, 1)
		return l
	}
	byMemory := memoryMB << 20 / connShare / connCost
	// The collector may let the heap grow to twice the live data, so that half of what
	// its limit leaves can be live.
	budget := (MemoryLimit(memoryMB) - baseMB<<20 - int64(byMemory)*(connCost-socketBytes)) / 2
	return Limits{Memory: max(budget, minBudget), Conns: max(min(fds, byMemory), 1), BodyTime: BodyTime}
}

// MemoryLimit returns the soft limit of the garbage collector by which the process stays
// under half of the machine's memory; no limit if that is not known.
func MemoryLimit(memoryMB int) int64 {
	if memoryMB <= 0 {
		return math.MaxInt64
	}
	half := int64(memoryMB) << 20 / 2
	sockets := int64(memoryMB<<20/connShare/connCost) * socketBytes
	return max(half-textMB<<20-sockets, half/2)
}

// processFDs returns the limit of file descriptors of the process.
func processFDs() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 1024 // the usual one
	}
	return int(min(l.Cur, math.MaxInt32))
}

// machineMB returns the memory of this machine.
func machineMB() int {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return minMachineMB
	}
	return int(uint64(info.Totalram) * uint64(info.Unit) >> 20)
}
