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

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// logLine is a log line of a platform process.
type logLine struct {
	event     string
	vm        string
	timestamp time.Time
	fields    map[string]string
}

// Logs hold what the lines of all entry VMs tell of jobs.
type Logs struct {
	endLines []logLine
	// runLines holds the lines about runs by job, and schedulers those about who
	// schedules by VM.
	runLines       map[string][]logLine
	schedulerLines map[string][]logLine
}

// NewLogs returns Logs without lines.
func NewLogs() *Logs {
	return &Logs{
		runLines:       make(map[string][]logLine),
		schedulerLines: make(map[string][]logLine),
	}
}

// Read adds the lines of a log. Lines that are not of a platform process, and
// words before the first pair, are passed over.
func (logs *Logs) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if logLine, ok := parseLine(scanner.Text()); ok {
			logs.add(logLine)
		}
	}
	return eris.Wrap(scanner.Err(), "reading a log")
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

// duration returns how long the line says that a job took.
func (logLine logLine) duration() time.Duration {
	duration, err := time.ParseDuration(logLine.fields["took"])
	if err != nil {
		return 0
	}
	return duration
}

// intField returns a number of the line; 0 where it has none.
func (logLine logLine) intField(key string) int {
	number, err := strconv.Atoi(logLine.fields[key])
	if err != nil {
		return 0
	}
	return number
}
