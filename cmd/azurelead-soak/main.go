// Command azurelead-soak runs gateway processes under seeded faults and checks that they keep their
// guarantees. It exits with status 1 if a guarantee was broken or a seed failed to run.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/soak"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "azurelead-soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	var opts soak.Options
	var first, seeds, parallel int
	return &cli.Command{
		Name:  "azurelead-soak",
		Usage: "inject seeded faults into gateway processes and check what callers and endpoints observe",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Usage: "path of the azurelead-gateway program", Value: "target/azurelead-gateway", Destination: &opts.Gateway},
			&cli.StringFlag{Name: "logs", Usage: "directory for the processes' logs; not kept if empty", Destination: &opts.LogDir},
			&cli.IntFlag{Name: "first", Usage: "first seed; 0 derives one from the current time", Destination: &first},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 10, Destination: &seeds},
			&cli.IntFlag{Name: "parallel", Usage: "number of seeds that run at the same time", Value: 2, Destination: &parallel},
			&cli.IntFlag{Name: "entries", Usage: "number of gateway processes per seed", Value: 3, Destination: &opts.Entries},
			&cli.BoolFlag{Name: "planned", Usage: "inject planned work and silence of sound endpoints only, and check that every request is answered", Destination: &opts.PlannedOnly},
			&cli.DurationFlag{Name: "settle", Usage: "time for which the entries run before a second version is listed beside a paused entry; 0 leaves that out", Destination: &opts.Settle},
			&cli.BoolFlag{Name: "rollout", Usage: "play the roll-out of a version, good or bad, beside the other faults", Destination: &opts.Rollout},
			&cli.DurationFlag{Name: "length", Usage: "duration of fault injection", Value: 8 * time.Second, Destination: &opts.Duration},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if first == 0 {
				first = int(time.Now().Unix())
			}
			return runSeeds(ctx, opts, first, seeds, parallel)
		},
	}
}

// runSeeds runs the seeds from first on, at most parallel at a time, and prints a report of each.
func runSeeds(ctx context.Context, opts soak.Options, first, seeds, parallel int) error {
	var mu sync.Mutex
	failedSeeds := 0
	slots := make(chan struct{}, max(parallel, 1))
	var wg sync.WaitGroup
	for i := range seeds {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			seedOpts := opts
			seedOpts.Seed = uint64(first + i)
			report, err := soak.Run(ctx, seedOpts)
			mu.Lock()
			defer mu.Unlock()
			fmt.Printf("seed %d: %d requests, %d served, %d refused, %d failed, %d of %d resumptions continued, %d of %d refused beside %d crashes, %d MB at the peak, %d faults, %d guarantees broken\n",
				report.Seed, report.Requests, report.Served, report.Refused, report.Failed, report.Continued, report.Resumptions,
				report.SoundRefused, report.SoundAsked, report.Crashes, report.PeakMB, len(report.Faults), len(report.Violations))
			fmt.Println("  responses:", report.Statuses)
			if report.Rollout != "" {
				fmt.Println("  roll-out:", report.Rollout)
			}
			if err != nil || len(report.Violations) > 0 {
				failedSeeds++
				fmt.Println("  error:", err)
				for _, line := range append(report.Faults, report.Violations...) {
					fmt.Println("  " + line)
				}
			}
		})
	}
	wg.Wait()
	if failedSeeds > 0 {
		return fmt.Errorf("%d of %d seeds broke a guarantee or failed to run", failedSeeds, seeds)
	}
	return nil
}
