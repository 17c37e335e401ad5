// Command azurelead-review-2 plays the cases of the second independent review: it starts gateways as processes beside
// stand-ins of the platform, its servers and its clients, and checks one rule.
//
//	azurelead-review-2 CASE --gateway PROGRAM --record FILE [--trouble=false]
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

const (
	exitBroken  = 1
	exitNotRun  = 2
	minArgCount = 2
)

// cases are the cases by name.
var cases = map[string]func(f *deployment, trouble bool) error{
	"many-parts":      playManyParts,
	"forgotten-part":  playForgottenPart,
	"trickled-bodies": playTrickledBodies,
	"long-prompts":    playLongPrompts,
	"unseen-cold":     playUnseenCold,
	"mislabelled":     playMislabelled,
	"late-stages":     playLateStages,
}

func main() {
	code, err := run(os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "azurelead-review-2:", err)
	}
	os.Exit(code)
}

func run(args []string) (int, error) {
	if len(args) < minArgCount || cases[args[1]] == nil {
		return exitNotRun, fmt.Errorf("usage: azurelead-review-2 CASE [flags]")
	}
	flags := flag.NewFlagSet(args[1], flag.ContinueOnError)
	gateway := flags.String("gateway", "target/azurelead-gateway", "the gateway program")
	record := flags.String("record", "record.txt", "the file that is written")
	logs := flags.String("logs", "", "the folder for the logs of the gateways; they are discarded if it is empty")
	trouble := flags.Bool("trouble", true, "play the disruption too")
	if err := flags.Parse(args[minArgCount:]); err != nil {
		return exitNotRun, err
	}
	f, err := newFleet(*gateway, *record, *logs)
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	f.closeOnSignal()
	if err := cases[args[1]](f, *trouble); err != nil {
		f.note("could not run: %v", err)
		return exitNotRun, err
	}
	if len(f.broken) > 0 {
		f.note("BROKEN: %v", f.broken)
		return exitBroken, nil
	}
	f.note("held")
	return 0, nil
}
