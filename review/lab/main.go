// Command lab plays one case of the review: the project's own processes with stand-ins for the
// platform, the workers and the clients, on loopback addresses and the real clock.
//
//	lab CASE --program target/platform --out DIRECTORY [--trouble=false] [--keep]
//
// It exits with 1 if a rule was broken, 0 if all held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// options are those of one play of a case.
type options struct {
	program string
	trouble bool
	keep    bool
}

var cases = map[string]func(options, *record) error{
	"resent":   playResent,
	"declined": playDeclined,
	"limit":    playLimit,
	"drained":  playDrained,
}

func main() {
	flags := flag.NewFlagSet("lab", flag.ExitOnError)
	var options options
	flags.StringVar(&options.program, "program", "target/platform", "the program of the deploy file")
	flags.BoolVar(&options.trouble, "trouble", true, "whether the disruption happens")
	flags.BoolVar(&options.keep, "keep", false, "whether the logs are kept")
	out := flags.String("out", ".", "the directory of record.txt")
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "lab: no such case")
		os.Exit(2)
	}
	_ = flags.Parse(os.Args[2:])
	record := newRecord()
	err := cases[os.Args[1]](options, record)
	record.findTwice()
	if writeErr := record.write(filepath.Join(*out, "record.txt")); err == nil {
		err = writeErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		os.Exit(2)
	}
	for _, text := range record.broken {
		fmt.Println(text)
	}
	fmt.Printf("%d broken\n", len(record.broken))
	if len(record.broken) > 0 {
		os.Exit(1)
	}
}
