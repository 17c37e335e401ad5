// Command azurelead-agent runs the agent of one endpoint.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// exitFailed is the exit code for invalid flags and for failures while running.
const exitFailed = 1

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "azurelead-agent:", err)
		os.Exit(exitFailed)
	}
}
