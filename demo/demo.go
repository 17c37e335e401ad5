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

// deadline is what the demo's callers allow.
const deadline = 4 * time.Second

// ask is one request of the demo and what is expected of it.
type ask struct {
	title   string
	request client.Request
	// refused is the code that is expected; empty for an answer.
	refused contract.Code
}

var asks = []ask{
	{title: "an installer's warranty question", request: client.Request{
		Token: "hotflow-token", Pipeline: "warranty", Deadline: deadline,
		Body: entry.Body{Question: "Is the element of a 2019 heater under warranty after descaling?"},
	}},
	{title: "the same, streamed to a plumber on site", request: client.Request{
		Token: "hotflow-token", Pipeline: "warranty", Deadline: deadline,
		Body: entry.Body{Question: "Guide me through replacing the thermostat.", Stream: true, MaxTokens: 24},
	}},
	{title: "a technician's visit is booked", request: client.Request{
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
	{title: "a booking without an idempotency key is refused", refused: contract.CodeKeyRequired, request: client.Request{
		Token: "hotflow-token", Pipeline: "visit", Deadline: deadline,
		Body: entry.Body{Action: json.RawMessage(`{"reference":"job-4712"}`)},
	}},
}

// Command returns the command that runs the demo.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole small fleet in this process and put some requests to it",
		Description: "Prints each answer with its outcome and each stage's time and cost. Exits with 0 when every\n" +
			"request ended as expected, 1 otherwise.",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "verbose", Usage: "write the daemons' logs to standard error"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return Run(ctx, c.Root().Writer, c.Bool("verbose"))
		},
	}
}

// Run starts a fleet, asks, prints, and stops the fleet. It returns an error
// when a request ended otherwise than expected.
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
	for i, a := range asks {
		c := client.Client{URL: fleet.Entries()[i%len(fleet.Entries())]}
		if err := a.put(ctx, &c, out); err != nil {
			failures = append(failures, Error.New("%s: %v", a.title, err))
		}
	}
	fleet.printRuns(out)
	return errors.Join(append(failures, fleet.Stop())...)
}

// put sends the request, prints what came back, and checks how it ended.
func (a ask) put(ctx context.Context, c *client.Client, out io.Writer) error {
	fmt.Fprintf(out, "\n== %s\n", a.title)
	streamed := 0
	answer, err := c.Do(ctx, a.request, func(token string) {
		streamed++
		fmt.Fprint(out, token)
	})
	if streamed > 0 {
		fmt.Fprintln(out)
	}
	var problem *contract.Problem
	if errors.As(err, &problem) {
		fmt.Fprintf(out, "refused: %s (%s): %s\n", problem.Code, problem.Run, problem.Detail)
		if problem.Code == a.refused {
			return nil
		}
	}
	if err != nil {
		return err
	}
	if a.refused != "" {
		return Error.New("answered in place of refused with %s", a.refused)
	}
	printAnswer(out, answer)
	return nil
}

func printAnswer(out io.Writer, a entry.Answer) {
	if a.Answer != "" {
		fmt.Fprintf(out, "answer: %s\n", a.Answer)
	}
	for _, r := range a.Results {
		fmt.Fprintf(out, "result of %s: %s\n", r.Operation, r.Body)
	}
	fmt.Fprintf(out, "outcome: %s, %d tokens, digest %s\n", a.Run, a.Count, a.Digest)
	for _, s := range a.Stages {
		took := time.Duration(s.DurationUS) * time.Microsecond
		busy := time.Duration(s.Usage.EndpointUS) * time.Microsecond
		fmt.Fprintf(out, "  %-9s %-18s %8s  endpoint %8s  tokens %d prompt, %d cached, %d generated",
			s.Stage, s.Endpoint, took.Round(time.Microsecond), busy.Round(time.Microsecond),
			s.Usage.PromptTokens, s.Usage.CachedTokens, s.Usage.GeneratedTokens)
		if s.Replayed {
			fmt.Fprint(out, "  (replayed)")
		}
		fmt.Fprintln(out)
	}
}

// printRuns prints how often the application services ran anything, which is
// what proves that the repeated booking ran once.
func (f *Fleet) printRuns(out io.Writer) {
	fmt.Fprintln(out, "\n== calls that the application services ran")
	for _, dc := range dataCentres {
		for _, pool := range []string{"bookings", "stock"} {
			name := dc + "-" + pool
			fmt.Fprintf(out, "  %-16s %d\n", name, f.services[name].Stats().Attempts.Total)
		}
	}
}
