package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// clockTick is the unit of CPU times in /proc (USER_HZ is 100 on Linux).
	clockTick = 10 * time.Millisecond
	// userTimeField and systemField are the fields of /proc/PID/stat with the CPU
	// times, counted from the one after the name (proc(5), fields 14 and 15).
	userTimeField   = 11
	systemTimeField = 12
)

// cpuTime returns the sum of the CPU times of processes.
func cpuTime(pids []int) (time.Duration, error) {
	var total time.Duration
	for _, pid := range pids {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, eris.Wrapf(err, "CPU time of process %d", pid)
		}
		processTime, err := parseStat(stat)
		if err != nil {
			return 0, eris.Wrapf(err, "CPU time of process %d", pid)
		}
		total += processTime
	}
	return total, nil
}

// parseStat returns the CPU time in the content of /proc/PID/stat.
func parseStat(stat []byte) (time.Duration, error) {
	// The name may contain spaces and parentheses; it ends at the last one.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTimeField {
		return 0, eris.New("malformed stat file")
	}
	var total time.Duration
	for _, field := range []int{userTimeField, systemTimeField} {
		ticks, err := strconv.ParseInt(string(fields[field]), 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "malformed stat file")
		}
		total += time.Duration(ticks) * clockTick
	}
	return total, nil
}
