// Command azurelead-agent runs the process beside one endpoint.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// exitFault is the exit code after faults of flags and while running.
const exitFault = 1

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "azurelead-agent:", err)
		os.Exit(exitFault)
	}
}
