// Cases runs one case of the review: it starts the project's processes with the
// command of the deploy file, plays the stand-ins of clients, workers and platform,
// and checks one rule. Exit code 1 means that the rule was broken, 0 that it held,
// 2 that the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// result is the outcome of a case.
type result int

const (
	held      result = 0
	broken    result = 1
	cannotRun result = 2
)

// cases holds the cases by name. Trouble is set if the disruption is to happen.
var cases = map[string]func(recorder *recorder, trouble bool) result{
	"cancel-frozen-entry":  cancelFrozenEntry,
	"cancel-resend":        cancelResend,
	"other-kind":           otherKind,
	"replaced-then-killed": replacedThenKilled,
	"settings-moved":       settingsMoved,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(int(cannotRun))
	}
	play, known := cases[os.Args[1]]
	recorder, err := newRecorder(os.Args[2])
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case, or the record can't be written:", err)
		os.Exit(int(cannotRun))
	}
	trouble := os.Getenv("TROUBLE") != "0"
	recorder.add("case %s, disruption: %v", os.Args[1], trouble)
	// A case takes up to 90 s. One that hangs must not leave processes behind.
	time.AfterFunc(115*time.Second, func() {
		recorder.add("can't judge: the case took too long")
		endAll()
		os.Exit(int(cannotRun))
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		endAll()
		os.Exit(int(cannotRun))
	}()
	outcome := play(recorder, trouble)
	recorder.add("result: %d", outcome)
	fmt.Println("result:", outcome)
	os.Exit(int(outcome))
}
