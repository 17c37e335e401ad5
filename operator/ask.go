package operator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/client"
	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
)

// Flags of the ask command.
const (
	flagURL       = "url"
	flagToken     = "token"
	flagKey       = "key"
	flagDeadline  = "deadline"
	flagQuestion  = "question"
	flagAction    = "action"
	flagStream    = "stream"
	flagMaxTokens = "max-tokens"
)

// defaultDeadline is the deadline of a request if the flag is not given.
const defaultDeadline = 4 * time.Second

// AskCommand returns the command that sends one request to an entry. It prints the answer, or the
// problem document of a refusal, as JSON.
func AskCommand() *cli.Command {
	return &cli.Command{
		Name:  "ask",
		Usage: "send one request to an entry",
		Description: "Prints the verified answer as JSON and exits with 0, or prints the problem document of a refusal\n" +
			"and exits with 7. The tokens of a stream are joined into the printed answer.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagURL, Usage: "`URL` of the entry", Required: true, Sources: cli.EnvVars("AZURELEAD_URL"), Validator: checkURL},
			&cli.StringFlag{Name: flagToken, Usage: "bearer `TOKEN` of the organisation", Sources: cli.EnvVars("AZURELEAD_TOKEN")},
			&cli.StringFlag{Name: flagPipeline, Usage: "`NAME` of the pipeline", Required: true},
			&cli.StringFlag{Name: flagKey, Usage: "idempotency `KEY`"},
			&cli.DurationFlag{Name: flagDeadline, Usage: "`TIME` within which the answer is needed", Value: defaultDeadline, Validator: checkPositive},
			&cli.StringFlag{Name: flagQuestion, Usage: "`TEXT` for the model stages"},
			&cli.StringFlag{Name: flagAction, Usage: "`JSON` argument of the service stages"},
			&cli.BoolFlag{Name: flagStream, Usage: "receive the answer as a stream"},
			&cli.IntFlag{Name: flagMaxTokens, Usage: "at most `N` tokens"},
		},
		Action: runAsk,
	}
}

func runAsk(ctx context.Context, c *cli.Command) error {
	r, err := askRequest(c)
	if err != nil {
		return err
	}
	text := ""
	entryClient := client.Client{URL: c.String(flagURL)}
	answer, err := entryClient.Do(ctx, r, func(token string) { text += token })
	var problem *contract.Problem
	if errors.As(err, &problem) {
		return errors.Join(writeJSON(c, problem), newExitError(ExitRefused, errors.New(string(problem.Code))))
	}
	if err != nil {
		return err
	}
	if text != "" {
		answer.Answer = text
	}
	return writeJSON(c, answer)
}

func askRequest(c *cli.Command) (client.Request, error) {
	action := json.RawMessage(c.String(flagAction))
	if len(action) > 0 && !json.Valid(action) {
		return client.Request{}, usageError("flag --%s: %q is not JSON", flagAction, action)
	}
	return client.Request{
		Token: c.String(flagToken), Pipeline: c.String(flagPipeline), IdempotencyKey: c.String(flagKey), Deadline: c.Duration(flagDeadline),
		Body: entry.Body{
			Question: c.String(flagQuestion), Action: action, Stream: c.Bool(flagStream), MaxTokens: c.Int(flagMaxTokens),
		},
	}, nil
}

func writeJSON(c *cli.Command, v any) error {
	return json.NewEncoder(c.Root().Writer).Encode(v)
}
