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

// testCase is one case. It plays on a system of nine machines, after all of them have
// been in touch for a while.
type testCase struct {
	workers int
	// labels returns the labels of the worker with an index.
	labels func(index int) []string
	// play plays the case. Trouble is set if the disruption is to happen. The error
	// says why the case could not run.
	play func(system *system, trouble bool) (result, error)
}

const machines = 9

// cases holds the cases by name.
var cases = map[string]testCase{
	"cancel-frozen-entry":  {workers: 12, labels: sameKind, play: cancelFrozenEntry},
	"cancel-resend":        {workers: 12, labels: sameKind, play: cancelResend},
	"other-kind":           {workers: 22, labels: twoKinds, play: otherKind},
	"replaced-then-killed": {workers: 96, labels: sameKind, play: replacedThenKilled},
	"settings-moved":       {workers: 12, labels: sameKind, play: settingsMoved},
}

// sameKind returns the labels of a worker if all are of one kind.
func sameKind(index int) []string { return []string{"a", fmt.Sprintf("r1-%d", index/8)} }

// run starts the system and plays the case.
func (testCase testCase) run(recorder *recorder, trouble bool) result {
	system, err := newSystem(recorder, machines, testCase.workers, testCase.labels)
	if system != nil {
		defer system.end()
	}
	outcome := cannotRun
	if err == nil {
		time.Sleep(contactBound + time.Second)
		outcome, err = testCase.play(system, trouble)
	}
	if err != nil {
		recorder.add("can't run: %v", err)
		return cannotRun
	}
	return outcome
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(int(cannotRun))
	}
	testCase, known := cases[os.Args[1]]
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
	outcome := testCase.run(recorder, trouble)
	recorder.add("result: %d", outcome)
	fmt.Println("result:", outcome)
	os.Exit(int(outcome))
}
