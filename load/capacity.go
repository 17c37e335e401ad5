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
	// throughputDuration is how long the engines run at full batches to measure their throughput.
	throughputDuration = 5 * time.Second
	// throughputArrivals is the mean number of arrivals from which the mix of calls is drawn.
	throughputArrivals = 500
)

// Capacity measures how many requests of the scenario's mix its engines answer per second when
// direct callers keep their batches full, without azurelead in between. It considers engines only,
// because they saturate first in the embedded scenarios.
func Capacity(ctx context.Context, s Scenario) (float64, error) {
	lf := &LocalFleet{scenario: s}
	lf.ctx, lf.stop = context.WithCancel(ctx)
	defer lf.Close()
	inputs, fraction := engineInputs(s)
	if len(inputs) == 0 {
		return 0, Error.New("scenario %q has no request with a generate stage", s.Name)
	}
	drivers, err := lf.startEngines()
	if err != nil {
		return 0, err
	}
	return measureThroughput(ctx, drivers, s.Fleet.Batch, inputs) / fraction, Error.Wrap(ctx.Err())
}

// startEngines starts the scenario's engines without agents and returns their drivers.
func (lf *LocalFleet) startEngines() ([]endpoint.Endpoint, error) {
	var drivers []endpoint.Endpoint
	for i := range lf.scenario.Fleet.DataCentres {
		for _, spec := range lf.instanceSpecs(dataCentreName(i)) {
			if spec.info.Kind != pipeline.Generate {
				continue
			}
			addr, err := lf.serveTCP(standin.NewEngine(lf.engineOptions(spec.slowdown)).Serve)
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

// measureThroughput keeps batchSize calls in flight on every engine for throughputDuration and
// returns the successful answers per second.
func measureThroughput(ctx context.Context, drivers []endpoint.Endpoint, batchSize int, inputs []pipeline.Input) float64 {
	var next, answered atomic.Int64
	var callers sync.WaitGroup
	start := time.Now()
	for _, driver := range drivers {
		for range batchSize {
			callers.Go(func() {
				for ctx.Err() == nil && time.Since(start) < throughputDuration {
					input := inputs[int(next.Add(1))%len(inputs)]
					result := driver.Run(ctx, endpoint.Call{Attempt: contract.NewAttemptID(), Input: input}, func(string) {})
					if result.Problem == nil {
						answered.Add(1)
					}
				}
			})
		}
	}
	callers.Wait()
	return float64(answered.Load()) / time.Since(start).Seconds()
}

// engineInputs returns the inputs of the engine calls in the scenario's mix, and the fraction of
// requests that call an engine.
func engineInputs(s Scenario) ([]pipeline.Input, float64) {
	s.Duration, s.WarmUp = time.Duration(throughputArrivals/s.Rate*float64(time.Second)), 0
	arrivals := Arrivals(s)
	var inputs []pipeline.Input
	for _, arrival := range arrivals {
		class := s.Classes[arrival.Class]
		stages := pipelines()[class.Pipeline].Stages
		if !hasStage(stages, pipeline.Generate) {
			continue
		}
		question := questionText(class, arrival.QuestionNumber)
		inputs = append(inputs, pipeline.Input{Prompt: approximatePrompt(question, hasStage(stages, pipeline.Retrieve)), MaxTokens: class.MaxTokens})
	}
	return inputs, ratio(len(inputs), len(arrivals))
}

func hasStage(stages []settings.Stage, kind pipeline.Kind) bool {
	for _, stage := range stages {
		if stage.Kind == kind {
			return true
		}
	}
	return false
}

// approximatePrompt returns approximately the prompt that an entry builds from a question.
func approximatePrompt(question string, retrieve bool) string {
	if !retrieve {
		return question
	}
	var prompt strings.Builder
	for _, document := range standin.Rerank(question, standin.Retrieve(question)) {
		prompt.WriteString(document.Text + "\n")
	}
	return prompt.String() + question
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the requests per second that the scenario's engines sustain without azurelead",
		Flags: scenarioFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			scenario, err := scenarioFromFlags(c)
			if err != nil {
				return err
			}
			rate, err := Capacity(ctx, scenario)
			if err != nil {
				return err
			}
			p := &printer{w: c.Root().Writer}
			p.line("%.1f requests/s", rate)
			return Error.Wrap(p.err)
		},
	}
}
