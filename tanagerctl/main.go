// Command tanagerctl is the command-line tool for operators: it checks and publishes
// plans, shows which entry VMs have which version, drains entry VMs and explains from
// logs why jobs failed or were late.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"tanagerfall/tanagerctl/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
