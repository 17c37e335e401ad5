package load

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/standin"
)

const (
	// capacityTime is how long the engines are kept full to measure them.
	capacityTime = 5 * time.Second
	// capacityWork is how many arrivals the mix of calls is drawn from.
	capacityWork = 500
)

// Capacity measures how many requests of the scenario's mix its engines answer
// per second when they are kept full by callers of their own, without
// azurelead between. In the embedded scenarios engines saturate first.
func Capacity(ctx context.Context, s Scenario) (float64, error) {
	b := &LocalFleet{scenario: s}
	b.ctx, b.stop = context.WithCancel(ctx)
	defer b.Close()
	work, share := engineWork(s)
	if len(work) == 0 {
		return 0, Error.New("scenario %q has no request with a generate stage", s.Name)
	}
	drivers, err := b.startEngines()
	if err != nil {
		return 0, err
	}
	return keepFull(ctx, drivers, s.Fleet.Batch, work) / share, Error.Wrap(ctx.Err())
}

// startEngines starts the scenario's engines without agents.
func (b *LocalFleet) startEngines() ([]endpoint.Endpoint, error) {
	var drivers []endpoint.Endpoint
	for i := range b.scenario.Fleet.DataCentres {
		for _, spec := range b.specs(dataCentre(i)) {
			if spec.instance.Kind != pipeline.Generate {
				continue
			}
			addr, err := b.serve(standin.NewEngine(b.engineOptions(spec.pace)).Serve)
			if err != nil {
				return nil, err
			}
			driver, err := endpoint.New(pipeline.Generate, endpoint.Options{URL: "http://" + addr})
			if err != nil {
				return nil, err
			}
			drivers = append(drivers, driver)
		}
	}
	return drivers, nil
}

// keepFull keeps batch calls running on every engine and returns the answers
// per second.
func keepFull(ctx context.Context, drivers []endpoint.Endpoint, batch int, work []pipeline.Input) float64 {
	var next, answered atomic.Int64
	var callers sync.WaitGroup
	started := time.Now()
	for _, driver := range drivers {
		for range batch {
			callers.Go(func() {
				for ctx.Err() == nil && time.Since(started) < capacityTime {
					input := work[int(next.Add(1))%len(work)]
					r := driver.Run(ctx, endpoint.Call{Attempt: contract.NewAttemptID(), Input: input}, func(string) {})
					if r.Problem == nil {
						answered.Add(1)
					}
				}
			})
		}
	}
	callers.Wait()
	return float64(answered.Load()) / time.Since(started).Seconds()
}

// engineWork returns the engine calls of the scenario's mix, and the share of
// requests that make one.
func engineWork(s Scenario) ([]pipeline.Input, float64) {
	s.Duration, s.WarmUp = time.Duration(capacityWork/s.Rate*float64(time.Second)), 0
	arrivals := Arrivals(s)
	var work []pipeline.Input
	for _, a := range arrivals {
		c := s.Classes[a.Class]
		stages := pipelines()[c.Pipeline].Stages
		if !has(stages, pipeline.Generate) {
			continue
		}
		q := question(c, a.QuestionNumber)
		work = append(work, pipeline.Input{Prompt: promptOf(q, has(stages, pipeline.Retrieve)), MaxTokens: c.MaxTokens})
	}
	return work, share(len(work), len(arrivals))
}

func has(stages []settings.Stage, kind pipeline.Kind) bool {
	for _, st := range stages {
		if st.Kind == kind {
			return true
		}
	}
	return false
}

// promptOf is about the prompt that an entry makes of a question.
func promptOf(question string, retrieve bool) string {
	if !retrieve {
		return question
	}
	var p strings.Builder
	for _, d := range standin.Rerank(question, standin.Retrieve(question)) {
		p.WriteString(d.Text + "\n")
	}
	return p.String() + question
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the requests per second that the scenario's engines bear without azurelead",
		Flags: scenarioFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := scenarioOf(c)
			if err != nil {
				return err
			}
			perSecond, err := Capacity(ctx, s)
			if err != nil {
				return err
			}
			p := &printer{w: c.Root().Writer}
			p.line("%.1f requests/s", perSecond)
			return Error.Wrap(p.err)
		},
	}
}
