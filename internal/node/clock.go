package node

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/nutmegweir/nutmegweir/internal/fleet"
)

// bootTime reads CLOCK_BOOTTIME, which includes time suspended, or the
// monotonic clock if the kernel lacks it.
func bootTime() fleet.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return fleet.Time(time.Since(processStart))
	}
	return fleet.Time(t.Nano())
}

var processStart = time.Now()
