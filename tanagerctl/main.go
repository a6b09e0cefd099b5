// Command tanagerctl is the operators' tool: it checks and publishes plans,
// shows which plan is in force where, and drains VMs.
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
