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

// server serves a stand-in on a listener until ctx ends.
type server interface {
	Serve(ctx context.Context, ln net.Listener) error
}

// Command returns the azurelead-standin command, with a subcommand for each
// stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "azurelead-standin",
		Usage: "run a stand-in for a system that azurelead uses",
		Commands: []*cli.Command{
			platformCommand(), engineCommand(), poolCommand(), serviceCommand(),
		},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "object API and instance list of the platform",
		Flags: append(listenFlags(),
			&cli.BoolFlag{Name: "down", Usage: "fail every call as unavailable", Sources: env("DOWN")},
			durationFlag("delay", "delay before a call takes effect", 0),
			durationFlag("lag", "delay until a change of the instance list becomes visible", 0),
			floatFlag("lose-probability", "probability that the response to a write is lost"),
			floatFlag("stale-probability", "probability that a read returns the state before the latest write"),
			floatFlag("writes-per-second", "limit of the write rate; 0 means no limit"),
			floatFlag("reads-per-second", "limit of the read rate; 0 means no limit"),
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
			durationFlag("step", "base duration of one step of the batch", DefaultStep),
			durationFlag("per-sequence", "additional duration of a step for each running sequence", DefaultPerSequence),
			durationFlag("prefill", "additional duration of a step for each uncached prompt token", DefaultPrefill),
			intFlag("batch", "maximum number of sequences in the batch", DefaultBatchSize),
			intFlag("cache-blocks", "capacity of the prefix cache in blocks", DefaultCacheBlocks),
			durationFlag("load-time", "duration of an order to load a model, adapter or version", 0),
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuse orders with a stale fencing number", Sources: env("CHECKS_FENCE")},
			&cli.StringSliceFlag{Name: "model", Usage: "model to serve; if none is given, any model is served", Sources: env("MODEL")},
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
		Flags: append(append(listenFlags(), endpointFlags()...), workerFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			return listenAndServe(ctx, c, NewPool(PoolOptions{WorkerOptions: workerOptions(c)}))
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "instance of an application service",
		Flags: append(append(listenFlags(), endpointFlags()...), workerFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			return listenAndServe(ctx, c, NewService(ServiceOptions{WorkerOptions: workerOptions(c)}))
		},
	}
}

func workerOptions(c *cli.Command) WorkerOptions {
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
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP address and port to listen on", Sources: env("LISTEN")},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random choices of calls to inject faults into", Sources: env("SEED")},
	}
}

func endpointFlags() []cli.Flag {
	return []cli.Flag{
		intFlag("queue", "maximum number of queued calls; further calls are refused", 0),
		intFlag("cold-limit", "maximum number of concurrent calls while cold, above which the endpoint crashes; 0 means start warm", 0),
		intFlag("cold-answers", "number of answered calls after which a cold endpoint is warm", 0),
		floatFlag("cold-slowdown", "factor of the execution time of calls while cold"),
		durationFlag("down-for", "time for which connections are refused after a crash", time.Second),
		durationFlag("load-lag", "age of the reported load", 0),
	}
}

func workerFlags() []cli.Flag {
	return []cli.Flag{
		durationFlag("service-time", "execution time of one call", time.Millisecond),
		intFlag("slots", "maximum number of concurrent calls; 0 means no limit", 0),
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

// envName returns the name of a flag's environment variable, without its prefix.
func envName(flag string) string {
	return strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// listenAndServe listens on the configured address, prints the actual address to
// standard output and serves s until ctx ends.
func listenAndServe(ctx context.Context, c *cli.Command, s server) error {
	var config net.ListenConfig
	ln, err := config.Listen(ctx, "tcp", c.String("listen"))
	if err != nil {
		return Error.Wrap(err)
	}
	if err := printAddress(c.Root().Writer, ln.Addr()); err != nil {
		return err
	}
	return s.Serve(ctx, ln)
}

func printAddress(w io.Writer, addr net.Addr) error {
	_, err := fmt.Fprintf(w, "listening %s\n", addr)
	return Error.Wrap(err)
}
