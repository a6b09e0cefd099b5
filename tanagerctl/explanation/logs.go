package explanation

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// logLine is a line with a numbered log event in logfmt. fields holds all of its
// pairs of key and value.
type logLine struct {
	event     string
	vm        string
	timestamp time.Time
	fields    map[string]string
}

// Logs holds the log lines of all entry VMs that Explain evaluates.
type Logs struct {
	// endLines holds the lines about jobs that were not completed or late (E713,
	// E716) and about refused requests (E715).
	endLines []logLine
	// runLines holds the lines about stopped and lost runs (E722, E723) by the
	// ID of the job.
	runLines map[string][]logLine
	// schedulerLines holds the lines about starts, stops and changes of the
	// scheduler (E701 to E703) by entry VM.
	schedulerLines map[string][]logLine
}

// NewLogs returns empty Logs.
func NewLogs() *Logs {
	return &Logs{
		runLines:       make(map[string][]logLine),
		schedulerLines: make(map[string][]logLine),
	}
}

// Read adds the lines of a log until reader ends. It skips lines without a log
// event, and words before the first pair of key and value. The error is that of
// reader, or says that a line is longer than 1 MiB.
func (logs *Logs) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if logLine, ok := parseLine(scanner.Text()); ok {
			logs.add(logLine)
		}
	}
	return eris.Wrap(scanner.Err(), "read the log")
}

func (logs *Logs) add(logLine logLine) {
	switch logLine.event {
	case "E713", "E715", "E716":
		logs.endLines = append(logs.endLines, logLine)
	case "E722", "E723":
		job := logLine.fields["job"]
		logs.runLines[job] = append(logs.runLines[job], logLine)
	case "E701", "E702", "E703":
		logs.schedulerLines[logLine.vm] = append(logs.schedulerLines[logLine.vm], logLine)
	}
}

// parseLine returns false for a text that isn't a log event with a time.
func parseLine(text string) (logLine, bool) {
	if !strings.Contains(text, "event=E") {
		return logLine{}, false
	}
	fields := make(map[string]string)
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	atMs, err := strconv.ParseInt(fields["at"], 10, 64)
	if decoder.Err() != nil || err != nil {
		return logLine{}, false
	}
	return logLine{
		event:     fields["event"],
		vm:        fields["vm"],
		timestamp: time.UnixMilli(atMs),
		fields:    fields,
	}, true
}

// jobDuration returns the time from the job's acceptance to its end, 0 if the line
// doesn't have it.
func (logLine logLine) jobDuration() time.Duration {
	duration, err := time.ParseDuration(logLine.fields["took"])
	if err != nil {
		return 0
	}
	return duration
}

// intField returns the value of a field as a number, 0 if it is missing or is not
// a number.
func (logLine logLine) intField(key string) int {
	number, err := strconv.Atoi(logLine.fields[key])
	if err != nil {
		return 0
	}
	return number
}
