package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/canary"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/rollout"
)

// Flags of the rollout commands.
const (
	flagService  = "service"
	flagTarget   = "target"
	flagDuration = "duration"
	flagWatch    = "watch"

	// watchInterval is the time between two reads of the store while a roll-out is watched.
	watchInterval = time.Second
)

// rolloutCommand returns the command that orders, shows and withdraws roll-outs on the users' platform.
func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "move a service's traffic to a software version on the users' platform", Description: exitHelp,
		Commands: []*cli.Command{
			{
				Name: "order", Usage: "order a roll-out",
				Flags: append(storeFlags(), serviceFlag(true),
					&cli.StringFlag{Name: flagTarget, Usage: "`VERSION` to move to", Required: true},
					&cli.DurationFlag{Name: flagDuration, Usage: "`TIME` within which it is to be decided", Required: true, Validator: checkPositive}),
				Action: orderRollout,
			},
			{
				Name: "show", Usage: "show the roll-outs and their states",
				Flags:  append(storeFlags(), serviceFlag(false), &cli.BoolFlag{Name: flagWatch, Usage: "go on until all that are shown have ended"}),
				Action: showRollouts,
			},
			{
				Name: "withdraw", Usage: "withdraw an order; a version that was rolled back stays out of use for ten minutes",
				Flags: append(storeFlags(), serviceFlag(true)), Action: withdrawRollout,
			},
		},
	}
}

func storeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagStore, Usage: "`ADDRESS` of the platform's store", Required: true, Sources: cli.EnvVars("AZURELEAD_STORE")},
		outputFlag(),
		&cli.DurationFlag{Name: flagTimeout, Usage: "`TIME` after which a call to the store times out", Value: defaultTimeout, Validator: checkPositive},
	}
}

func serviceFlag(required bool) cli.Flag {
	return &cli.StringFlag{Name: flagService, Usage: "`NAME` of the service", Required: required}
}

func storeOf(c *cli.Command) *fleet.Store {
	return fleet.NewStore(c.String(flagStore), http.DefaultTransport)
}

func orderRollout(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	order := rollout.Order{Service: c.String(flagService), Target: c.String(flagTarget), Duration: c.Duration(flagDuration)}
	if err := storeOf(c).PutRollout(ctx, order); err != nil {
		return newExitError(ExitUnknown, err)
	}
	return nil
}

func withdrawRollout(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	if err := storeOf(c).Delete(ctx, fleet.KindRollouts, c.String(flagService)); err != nil {
		return newExitError(ExitUnknown, err)
	}
	return nil
}

// shownRollout is a roll-out in the output of the show command.
type shownRollout struct {
	Service   string  `json:"service"`
	Target    string  `json:"target"`
	DurationS float64 `json:"duration_s"`
	// State is empty until the order has been noticed.
	State rollout.State `json:"state"`
}

func showRollouts(ctx context.Context, c *cli.Command) error {
	var last []shownRollout
	for {
		list, err := listRollouts(ctx, c)
		if err != nil {
			return newExitError(ExitUnavailable, err)
		}
		if last == nil || !slices.Equal(last, list) {
			if err := writeResult(c, list, func(p *printer) { printRollouts(p, list) }); err != nil {
				return err
			}
		}
		last = list
		if !c.Bool(flagWatch) || !slices.ContainsFunc(list, func(r shownRollout) bool { return !r.State.Final() }) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

func printRollouts(p *printer, list []shownRollout) {
	for _, r := range list {
		state := string(r.State)
		if state == "" {
			state = "not noticed yet"
		}
		p.line("%s to %s within %gs: %s", r.Service, r.Target, r.DurationS, state)
	}
}

func listRollouts(ctx context.Context, c *cli.Command) ([]shownRollout, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	changes, err := storeOf(c).List(ctx, fleet.KindRollouts, false)
	if err != nil {
		return nil, err
	}
	list := []shownRollout{}
	for _, o := range changes.Objects {
		var r canary.StoredOrder
		if r, err = fleet.DecodeRollout(o); err != nil {
			return nil, fmt.Errorf("roll-out %s: %w", o.Name, err)
		}
		if name := c.String(flagService); name == "" || name == r.Service {
			list = append(list, shownRollout{Service: r.Service, Target: r.Target, DurationS: r.Duration.Seconds(), State: r.State})
		}
	}
	slices.SortFunc(list, func(a, b shownRollout) int { return strings.Compare(a.Service, b.Service) })
	return list, nil
}
