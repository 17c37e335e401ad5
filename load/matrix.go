package load

import (
	"context"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// matrixSpec is a comparison of policies at several loads.
type matrixSpec struct {
	scenario Scenario
	policies []Policy
	// rates are requests per second; percents name them.
	rates    []float64
	percents []float64
	reps     int
}

// MatrixCell holds the repeated runs of one policy at one load.
type MatrixCell struct {
	Policy  string   `json:"policy"`
	Percent float64  `json:"percent"`
	Rate    float64  `json:"rate"`
	Reports []Report `json:"reports"`
}

func matrixCommand() *cli.Command {
	return &cli.Command{
		Name:  "matrix",
		Usage: "compare policies at several loads, each repeated with the next seeds",
		Flags: append(scenarioFlags(),
			&cli.StringSliceFlag{Name: "policy", Usage: "policies to compare; all by default"},
			&cli.FloatSliceFlag{Name: "percent", Value: []float64{50, 90, 120, 200}, Usage: "loads, in per cent of the capacity"},
			&cli.FloatFlag{Name: "capacity", Usage: "requests per second that are 100 per cent; 0 measures them"},
			&cli.IntFlag{Name: "repeat", Value: 5, Usage: "runs of each policy at each load"},
			&cli.StringFlag{Name: "json", Usage: "file to write all reports to"},
		),
		Action: matrixAction,
	}
}

func matrixAction(ctx context.Context, c *cli.Command) error {
	m := matrixSpec{percents: c.FloatSlice("percent"), reps: c.Int("repeat")}
	var err error
	if m.scenario, err = scenarioOf(c); err != nil {
		return err
	}
	if m.policies, err = policiesOf(c.StringSlice("policy")); err != nil {
		return err
	}
	capacity := c.Float("capacity")
	if capacity <= 0 {
		if capacity, err = Capacity(ctx, m.scenario); err != nil {
			return err
		}
	}
	p := &printer{w: c.Root().Writer}
	p.line("scenario %s, seeds from %d, capacity %.1f requests/s, %d runs each",
		m.scenario.Name, m.scenario.Seed, capacity, m.reps)
	for _, percent := range m.percents {
		m.rates = append(m.rates, capacity*percent/100)
	}
	cells, err := m.run(ctx, c.Root().ErrWriter)
	if err != nil {
		return err
	}
	if name := c.String("json"); name != "" {
		if err := writeFile(name, func(w io.Writer) error { return writeJSON(w, cells) }); err != nil {
			return err
		}
	}
	return printMatrix(c.Root().Writer, cells)
}

func policiesOf(names []string) ([]Policy, error) {
	if len(names) == 0 {
		return Policies(), nil
	}
	var out []Policy
	for _, n := range names {
		p, ok := PolicyByName(n)
		if !ok {
			return nil, Error.New("--policy %q is not one of: %s", n, policyNames())
		}
		out = append(out, p)
	}
	return out, nil
}

func policyNames() string {
	var names []string
	for _, p := range Policies() {
		names = append(names, p.Name)
	}
	return strings.Join(names, ", ")
}

// run measures every cell. Policies take turns within a repetition, so that a
// busier moment of the machine falls on all of them.
func (m matrixSpec) run(ctx context.Context, progress io.Writer) ([]MatrixCell, error) {
	cells := make([]MatrixCell, 0, len(m.rates)*len(m.policies))
	for i, rate := range m.rates {
		for _, p := range m.policies {
			cells = append(cells, MatrixCell{Policy: p.Name, Percent: m.percents[i], Rate: rate})
		}
	}
	log := &printer{w: progress}
	for rep := range m.reps {
		for i := range cells {
			p := m.policies[i%len(m.policies)]
			r, err := m.one(ctx, p, cells[i].Rate, rep)
			if err != nil {
				return nil, err
			}
			cells[i].Reports = append(cells[i].Reports, r)
			log.line("repetition %d, %s at %.0f%%: attained %.1f%%", rep+1, p.Name, cells[i].Percent, 100*r.Total.Attainment)
		}
	}
	return cells, nil
}

func (m matrixSpec) one(ctx context.Context, p Policy, rate float64, rep int) (Report, error) {
	s := m.scenario
	s.Rate = rate
	s.Seed += uint64(rep)
	b, err := NewLocalFleet(s, p)
	if err != nil {
		return Report{}, err
	}
	defer b.Close()
	samples, err := Run(ctx, s, b, io.Discard)
	if err != nil {
		return Report{}, err
	}
	return Summarise(s, p.Name, samples, b.Stats()), nil
}

// printMatrix prints mean and spread of each cell.
func printMatrix(w io.Writer, cells []MatrixCell) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	p := &printer{w: t}
	p.line("| load\t| policy\t| attained %%\t| goodput /s\t| p50 ms\t| p99 ms\t| refusal p99 ms\t| endpoint s / answer\t| tokens / answer\t| wasted %%\t| retries %%\t|")
	p.line("|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, c := range cells {
		row := "| " + trimmed(c.Percent) + "%\t| " + c.Policy
		for _, f := range comparisons() {
			row += "\t| " + spreadOf(c.Reports, f.of)
		}
		p.line("%s", row+"\t|")
	}
	if p.err != nil {
		return Error.Wrap(p.err)
	}
	return Error.Wrap(t.Flush())
}

// spreadOf formats the mean over the runs, with the least and the greatest.
func spreadOf(reports []Report, of func(Report) float64) string {
	sum, low, high := 0.0, math.Inf(1), math.Inf(-1)
	for _, r := range reports {
		v := of(r)
		sum += v
		low, high = min(low, v), max(high, v)
	}
	return trimmed(sum/float64(len(reports))) + " (" + trimmed(low) + "-" + trimmed(high) + ")"
}

// trimmed formats a figure with three significant digits at most after the
// point, fewer for large ones.
func trimmed(v float64) string {
	digits := 2
	switch {
	case math.Abs(v) >= 100:
		digits = 0
	case math.Abs(v) >= 10:
		digits = 1
	}
	return strconv.FormatFloat(v, 'f', digits, 64)
}
