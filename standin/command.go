package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/platform"
)

// server is a stand-in that can serve.
type server interface {
	Serve(ctx context.Context, ln net.Listener) error
}

// Command returns the command line of the stand-ins.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "azurelead-standin",
		Usage: "run a small stand-in for a system around azurelead",
		Commands: []*cli.Command{
			platformCommand(), engineCommand(), poolCommand(), serviceCommand(),
		},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "object API and list of instances",
		Flags: append(listenFlags(),
			&cli.BoolFlag{Name: "down", Usage: "refuse every call", Sources: env("DOWN")},
			durationFlag("delay", "time before a call takes effect", 0),
			durationFlag("lag", "time for which a change of the instance list stays unseen", 0),
			floatFlag("lose-probability", "share of writes whose answer is lost"),
			floatFlag("stale-probability", "share of reads that see the state one write back"),
			floatFlag("writes-per-second", "write rate above which calls are refused; 0 is unlimited"),
			floatFlag("reads-per-second", "read rate above which calls are refused; 0 is unlimited"),
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return listenAndServe(ctx, c, NewPlatform(PlatformOptions{
				Seed: c.Uint64("seed"),
				Faults: platform.Faults{
					Down: c.Bool("down"), Delay: c.Duration("delay"), InstanceListLag: c.Duration("lag"),
					LoseProbability:  c.Float("lose-probability"),
					StaleProbability: c.Float("stale-probability"),
					WritesPerSecond:  c.Float("writes-per-second"),
					ReadsPerSecond:   c.Float("reads-per-second"),
				},
			}))
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "model engine with continuous batching",
		Flags: append(append(listenFlags(), endpointFlags()...),
			durationFlag("step", "time of one step of the batch", DefaultStep),
			durationFlag("per-sequence", "time that each running sequence adds to a step", DefaultPerSequence),
			durationFlag("prefill", "time of one uncached prompt token", DefaultPrefill),
			intFlag("batch", "sequences that run together", DefaultBatchSize),
			intFlag("cache-blocks", "blocks of prompts that the prefix cache holds", DefaultCacheBlocks),
			durationFlag("load-time", "time of an order to load", 0),
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuse orders with an old fencing number", Sources: env("CHECKS_FENCE")},
			&cli.StringSliceFlag{Name: "model", Usage: "model that is loaded; none means any", Sources: env("MODEL")},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return listenAndServe(ctx, c, NewEngine(EngineOptions{
				StepTiming: StepTiming{
					Step: c.Duration("step"), PerSequence: c.Duration("per-sequence"), Prefill: c.Duration("prefill"),
				},
				BatchSize: c.Int("batch"), QueueLimit: c.Int("queue"), CacheBlocks: c.Int("cache-blocks"),
				ColdStart: coldStart(c), DownFor: c.Duration("down-for"), LoadLag: c.Duration("load-lag"),
				ChecksFence: c.Bool("checks-fence"), LoadTime: c.Duration("load-time"),
				Models: c.StringSlice("model"),
			}))
		},
	}
}

func poolCommand() *cli.Command {
	return &cli.Command{
		Name:  "pool",
		Usage: "member of a pool of encoders, retrievers or rerankers",
		Flags: append(append(listenFlags(), endpointFlags()...), stationFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			return listenAndServe(ctx, c, NewPool(PoolOptions{WorkerOptions: stationOf(c)}))
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "instance of an application service",
		Flags: append(append(listenFlags(), endpointFlags()...), stationFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			return listenAndServe(ctx, c, NewService(ServiceOptions{WorkerOptions: stationOf(c)}))
		},
	}
}

func stationOf(c *cli.Command) WorkerOptions {
	return WorkerOptions{
		ServiceTime: c.Duration("service-time"), Slots: c.Int("slots"), QueueLimit: c.Int("queue"),
		ColdStart: coldStart(c), DownFor: c.Duration("down-for"), LoadLag: c.Duration("load-lag"),
	}
}

func coldStart(c *cli.Command) ColdStart {
	return ColdStart{
		Limit: c.Int("cold-limit"), Answers: c.Int("cold-answers"), Slowdown: c.Float("cold-slowdown"),
	}
}

func listenFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP address and port", Sources: env("LISTEN")},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "decides which calls a fault with a probability hits", Sources: env("SEED")},
	}
}

func endpointFlags() []cli.Flag {
	return []cli.Flag{
		intFlag("queue", "calls that may wait; more are refused", 0),
		intFlag("cold-limit", "calls that a cold endpoint bears at once; 0 starts warm", 0),
		intFlag("cold-answers", "answers after which a cold endpoint is warm", 0),
		floatFlag("cold-slowdown", "factor on the time of a call while cold"),
		durationFlag("down-for", "time for which a crashed process refuses connections", time.Second),
		durationFlag("load-lag", "age of the load report", 0),
	}
}

func stationFlags() []cli.Flag {
	return []cli.Flag{
		durationFlag("service-time", "time of one call", time.Millisecond),
		intFlag("slots", "calls that run at once; 0 is unlimited", 0),
	}
}

func durationFlag(name, usage string, value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Sources: env(envName(name))}
}

func intFlag(name, usage string, value int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: value, Sources: env(envName(name))}
}

func floatFlag(name, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Usage: usage, Sources: env(envName(name))}
}

func env(name string) cli.ValueSourceChain { return cli.EnvVars("AZURELEAD_" + name) }

// envName turns a flag's name into that of its environment variable.
func envName(flag string) string {
	return strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// listenAndServe tells the address on standard output once it is taken.
func listenAndServe(ctx context.Context, c *cli.Command, s server) error {
	var config net.ListenConfig
	ln, err := config.Listen(ctx, "tcp", c.String("listen"))
	if err != nil {
		return Error.Wrap(err)
	}
	if err := announce(c.Root().Writer, ln.Addr()); err != nil {
		return err
	}
	return s.Serve(ctx, ln)
}

func announce(w io.Writer, addr net.Addr) error {
	_, err := fmt.Fprintf(w, "listening %s\n", addr)
	return Error.Wrap(err)
}
