package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/client"
	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
)

// deadline is the deadline of every request of the demo.
const deadline = 4 * time.Second

// demoRequest is one request of the demo with its expected outcome.
type demoRequest struct {
	title   string
	request client.Request
	// wantRefusal is the code of the expected refusal; empty if an answer is expected.
	wantRefusal contract.Code
}

var demoRequests = []demoRequest{
	{title: "an installer's warranty question", request: client.Request{
		Token: "hotflow-token", Pipeline: "warranty", Deadline: deadline,
		Body: entry.Body{Question: "Is the element of a 2019 heater under warranty after descaling?"},
	}},
	{title: "a question from a plumber on site, with a streamed answer", request: client.Request{
		Token: "hotflow-token", Pipeline: "warranty", Deadline: deadline,
		Body: entry.Body{Question: "Guide me through replacing the thermostat.", Stream: true, MaxTokens: 24},
	}},
	{title: "the booking of a technician's visit", request: client.Request{
		Token: "hotflow-token", Pipeline: "visit", IdempotencyKey: "visit-4711", Deadline: deadline,
		Body: entry.Body{Action: json.RawMessage(`{"reference":"job-4711","room":"12"}`)},
	}},
	{title: "the same booking sent again: its outcome is replayed", request: client.Request{
		Token: "hotflow-token", Pipeline: "visit", IdempotencyKey: "visit-4711", Deadline: deadline,
		Body: entry.Body{Action: json.RawMessage(`{"reference":"job-4711","room":"12"}`)},
	}},
	{title: "a tender dossier with a stock reservation", request: client.Request{
		Token: "cork-office-token", Pipeline: "tender", IdempotencyKey: "tender-9", Deadline: deadline,
		Body: entry.Body{
			Question: "Draft the dossier for 400 cork tiles, thickness 6 mm.",
			Action:   json.RawMessage(`{"reference":"tender-9","tiles":400}`),
		},
	}},
	{title: "a booking without an idempotency key is refused", wantRefusal: contract.CodeKeyRequired, request: client.Request{
		Token: "hotflow-token", Pipeline: "visit", Deadline: deadline,
		Body: entry.Body{Action: json.RawMessage(`{"reference":"job-4712"}`)},
	}},
}

// Command returns the command that runs the demo.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a complete small fleet in this process and send it some requests",
		Description: "Prints each answer with its outcome and the time and cost of each stage. Exits with 0 if every\n" +
			"request ends as expected, with 1 otherwise.",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "verbose", Usage: "write the daemons' logs to standard error"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return Run(ctx, c.Root().Writer, c.Bool("verbose"))
		},
	}
}

// Run starts a fleet, sends the demo's requests, prints their outcomes, and stops the fleet. It
// returns an error if a request does not end as expected or the fleet fails to start or stop.
func Run(ctx context.Context, out io.Writer, verbose bool) error {
	logger := slog.New(slog.DiscardHandler)
	if verbose {
		logger = slog.Default()
	}
	fleet, err := Start(ctx, logger)
	if err != nil {
		return err
	}
	var failures []error
	for i, r := range demoRequests {
		entryClient := client.Client{URL: fleet.Entries()[i%len(fleet.Entries())]}
		if err := r.send(ctx, &entryClient, out); err != nil {
			failures = append(failures, Error.New("%s: %v", r.title, err))
		}
	}
	fleet.printServiceRuns(out)
	return errors.Join(append(failures, fleet.Stop())...)
}

// send sends the request, prints the response, and returns an error if the outcome is not the
// expected one.
func (r demoRequest) send(ctx context.Context, c *client.Client, out io.Writer) error {
	fmt.Fprintf(out, "\n== %s\n", r.title)
	streamed := 0
	answer, err := c.Do(ctx, r.request, func(token string) {
		streamed++
		fmt.Fprint(out, token)
	})
	if streamed > 0 {
		fmt.Fprintln(out)
	}
	var problem *contract.Problem
	if errors.As(err, &problem) {
		fmt.Fprintf(out, "refused: %s (%s): %s\n", problem.Code, problem.Run, problem.Detail)
		if problem.Code == r.wantRefusal {
			return nil
		}
	}
	if err != nil {
		return err
	}
	if r.wantRefusal != "" {
		return Error.New("request was answered, want a refusal with code %s", r.wantRefusal)
	}
	printAnswer(out, answer)
	return nil
}

func printAnswer(out io.Writer, answer entry.Answer) {
	if answer.Answer != "" {
		fmt.Fprintf(out, "answer: %s\n", answer.Answer)
	}
	for _, result := range answer.Results {
		fmt.Fprintf(out, "result of %s: %s\n", result.Operation, result.Body)
	}
	fmt.Fprintf(out, "outcome: %s, %d tokens, digest %s\n", answer.Run, answer.Count, answer.Digest)
	for _, stage := range answer.Stages {
		duration := time.Duration(stage.DurationUS) * time.Microsecond
		endpointTime := time.Duration(stage.Usage.EndpointUS) * time.Microsecond
		fmt.Fprintf(out, "  %-9s %-18s %8s  endpoint %8s  tokens %d prompt, %d cached, %d generated",
			stage.Stage, stage.Endpoint, duration.Round(time.Microsecond), endpointTime.Round(time.Microsecond),
			stage.Usage.PromptTokens, stage.Usage.CachedTokens, stage.Usage.GeneratedTokens)
		if stage.Replayed {
			fmt.Fprint(out, "  (replayed)")
		}
		fmt.Fprintln(out)
	}
}

// printServiceRuns prints the number of calls that each application service ran, which shows that
// the repeated booking ran once.
func (f *Fleet) printServiceRuns(out io.Writer) {
	fmt.Fprintln(out, "\n== calls run by the application services")
	for _, dc := range dataCentres {
		for _, pool := range []string{"bookings", "stock"} {
			name := dc + "-" + pool
			fmt.Fprintf(out, "  %-16s %d\n", name, f.services[name].Stats().Attempts.Total)
		}
	}
}
