package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// main runs a case: rig3 CASE PROGRAM RECORD [SEED]. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.
func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE PROGRAM RECORD [SEED]")
		os.Exit(2)
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	seed := uint64(time.Now().UnixNano())
	if len(os.Args) > 4 {
		seed, _ = strconv.ParseUint(os.Args[4], 10, 64)
	}
	os.Exit(run(os.Args[1], os.Args[2], record, seed, os.Getenv("TROUBLE") != "0"))
}

func run(name, program string, record io.Writer, seed uint64, trouble bool) int {
	directory, err := os.MkdirTemp("", "rig3")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("RIG_KEEP") == "" {
		defer os.RemoveAll(directory)
	} else {
		fmt.Println("logs in", directory)
	}
	scenario, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	world, err := newWorld(record, program, directory, nil)
	if err != nil {
		return 2
	}
	defer world.stopAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		world.stopAll()
		os.Exit(2)
	}()
	if err := scenario(world, seed, trouble); err != nil {
		world.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	breaks := world.checker.result()
	if world.starved.Load() {
		fmt.Println("the machine was too busy for the stand-ins")
		return 2
	}
	for _, text := range breaks {
		fmt.Println(text)
	}
	if len(breaks) > 0 {
		return 1
	}
	return 0
}
