package simulation

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"sync"
)

// Summary adds up the results of many series.
type Summary struct {
	Series    int
	Starts    int
	Completed int
	Takeovers int
	Refused   int
	// Violations counts the violations by rule.
	Violations map[Rule]int
	// Failed holds the results of the series with violations, by seed.
	Failed []Result
}

// RunSeeds plays the series of the seeds from first to last with the same other options,
// several at a time.
func RunSeeds(first, last uint64, parallel int, options Options) Summary {
	var mutex sync.Mutex
	var group sync.WaitGroup
	summary := Summary{
		Violations: make(map[Rule]int),
	}
	next := first
	for range parallel {
		group.Go(func() {
			for {
				mutex.Lock()
				seed := next
				next++
				mutex.Unlock()
				if seed > last {
					return
				}
				series := options
				series.Seed = seed
				result := Run(series)
				mutex.Lock()
				summary.add(result)
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	slices.SortFunc(summary.Failed, func(a, b Result) int { return int(a.Seed) - int(b.Seed) })
	return summary
}

func (summary *Summary) add(result Result) {
	summary.Series++
	summary.Starts += result.Starts
	summary.Completed += result.Completed
	summary.Takeovers += result.Takeovers
	summary.Refused += result.Refused
	for _, violation := range result.Violations {
		summary.Violations[violation.Rule]++
	}
	if len(result.Violations) > 0 {
		summary.Failed = append(summary.Failed, result)
	}
}

// WriteTrace plays a series again and writes the events of one job, with the troubles,
// the changes of schedulers and the memberships beside them. An empty job stands for all.
func WriteTrace(writer io.Writer, options Options, job string) {
	var log bytes.Buffer
	options.Log = &log
	Run(options)
	scanner := bufio.NewScanner(&log)
	for scanner.Scan() {
		if line := scanner.Text(); job == "" || concerns(line, job) {
			fmt.Fprintln(writer, line)
		}
	}
}

// anyJob matches what is only in lines about a job.
var anyJob = regexp.MustCompile(`job=| j\d{3}|caller of|connection of| kind=`)

// concerns reports whether a line of the log is about a job, or about no job.
func concerns(line, job string) bool {
	return strings.Contains(line, job) || !anyJob.MatchString(line)
}
