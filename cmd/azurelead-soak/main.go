// Command azurelead-soak disturbs gateways by seeded faults and checks their
// promises. It exits with 1 when one was broken.
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
	var o soak.Options
	var first, seeds, parallel int
	return &cli.Command{
		Name:  "azurelead-soak",
		Usage: "disturb gateway processes by seeded faults and check what callers and endpoints see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Usage: "path of the azurelead-gateway program", Value: "target/azurelead-gateway", Destination: &o.Gateway},
			&cli.StringFlag{Name: "logs", Usage: "directory for the processes' logs; none if empty", Destination: &o.LogDir},
			&cli.IntFlag{Name: "first", Usage: "first seed; 0 takes one from the clock", Destination: &first},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 10, Destination: &seeds},
			&cli.IntFlag{Name: "parallel", Usage: "seeds at the same time", Value: 2, Destination: &parallel},
			&cli.IntFlag{Name: "entries", Usage: "gateway processes of each seed", Value: 3, Destination: &o.Entries},
			&cli.DurationFlag{Name: "length", Usage: "how long faults go on", Value: 8 * time.Second, Destination: &o.Length},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if first == 0 {
				first = int(time.Now().Unix())
			}
			return play(ctx, o, first, seeds, parallel)
		},
	}
}

func play(ctx context.Context, o soak.Options, first, seeds, parallel int) error {
	var mu sync.Mutex
	broken := 0
	slots := make(chan struct{}, max(parallel, 1))
	var all sync.WaitGroup
	for i := range seeds {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			one := o
			one.Seed = uint64(first + i)
			report, err := soak.Run(ctx, one)
			mu.Lock()
			defer mu.Unlock()
			fmt.Printf("seed %d: %d requests, %d served, %d refused, %d failed, %d faults, %d promises broken\n",
				report.Seed, report.Requests, report.Served, report.Refused, report.Failed, len(report.Faults), len(report.Broken))
			if err != nil || len(report.Broken) > 0 {
				broken++
				fmt.Println("  error:", err)
				for _, line := range append(report.Faults, report.Broken...) {
					fmt.Println("  " + line)
				}
			}
		})
	}
	all.Wait()
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", broken, seeds)
	}
	return nil
}
