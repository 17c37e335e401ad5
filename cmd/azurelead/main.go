// Command azurelead is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/azurelead/azurelead/demo"
	"github.com/azurelead/azurelead/explain"
	"github.com/azurelead/azurelead/load"
	"github.com/azurelead/azurelead/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	commands := append(operator.Commands(operator.Options{}),
		operator.AskCommand(), operator.CertificateCommand(), demo.Command(), load.Command(), explain.Command())
	code := operator.Run(ctx, operator.Root(commands...), os.Args, os.Stderr)
	stop()
	os.Exit(code)
}
