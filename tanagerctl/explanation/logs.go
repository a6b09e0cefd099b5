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

// maxLine bounds the length of a log line.
const maxLine = 1 << 20

// line is a log line of a platform process.
type line struct {
	event  string
	vm     string
	at     time.Time
	fields map[string]string
}

// Logs hold what the lines of all entry VMs tell of jobs.
type Logs struct {
	ends []line
	// runs holds the lines about runs by job, and schedulers those about who
	// schedules by VM.
	runs       map[string][]line
	schedulers map[string][]line
}

// NewLogs returns Logs without lines.
func NewLogs() *Logs {
	return &Logs{
		runs:       make(map[string][]line),
		schedulers: make(map[string][]line),
	}
}

// Read adds the lines of a log. Lines that are not of a platform process, and
// words before the first pair, are passed over.
func (logs *Logs) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if found, ok := parse(scanner.Text()); ok {
			logs.add(found)
		}
	}
	return eris.Wrap(scanner.Err(), "reading a log")
}

func (logs *Logs) add(found line) {
	switch found.event {
	case "E713", "E715", "E716":
		logs.ends = append(logs.ends, found)
	case "E722", "E723":
		job := found.fields["job"]
		logs.runs[job] = append(logs.runs[job], found)
	case "E701", "E702", "E703":
		logs.schedulers[found.vm] = append(logs.schedulers[found.vm], found)
	}
}

func parse(text string) (line, bool) {
	if !strings.Contains(text, "event=E") {
		return line{}, false
	}
	fields := make(map[string]string)
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	at, err := strconv.ParseInt(fields["at"], 10, 64)
	if decoder.Err() != nil || err != nil {
		return line{}, false
	}
	return line{
		event:  fields["event"],
		vm:     fields["vm"],
		at:     time.UnixMilli(at),
		fields: fields,
	}, true
}

// took returns how long the line says that a job took.
func (line line) took() time.Duration {
	took, err := time.ParseDuration(line.fields["took"])
	if err != nil {
		return 0
	}
	return took
}

// count returns a number of the line; 0 where it has none.
func (line line) count(name string) int {
	number, err := strconv.Atoi(line.fields[name])
	if err != nil {
		return 0
	}
	return number
}
