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
	// clockTick is the unit of CPU times in /proc: USER_HZ is 100 on Linux.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are the indexes of the fields utime and
	// stime of /proc/PID/stat (fields 14 and 15 in proc(5)), counted from the
	// field after the process name.
	userTimeField   = 11
	systemTimeField = 12
)

// cpuTime returns the sum of the user and system CPU times of the processes.
func cpuTime(pids []int) (time.Duration, error) {
	var total time.Duration
	for _, pid := range pids {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, eris.Wrapf(err, "read CPU time of process %d", pid)
		}
		processTime, err := parseStat(stat)
		if err != nil {
			return 0, eris.Wrapf(err, "read CPU time of process %d", pid)
		}
		total += processTime
	}
	return total, nil
}

// parseStat returns the user and system CPU time from the content of
// /proc/PID/stat.
func parseStat(stat []byte) (time.Duration, error) {
	// The process name is in parentheses and may itself contain spaces and
	// parentheses, so it ends at the last closing one.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTimeField {
		return 0, eris.New("stat file has too few fields")
	}
	var total time.Duration
	for _, field := range []int{userTimeField, systemTimeField} {
		ticks, err := strconv.ParseInt(string(fields[field]), 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "CPU time in stat file is not a number")
		}
		total += time.Duration(ticks) * clockTick
	}
	return total, nil
}
