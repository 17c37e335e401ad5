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

// matrixSpec describes a comparison of policies at several loads.
type matrixSpec struct {
	scenario Scenario
	policies []Policy
	// rates are in requests per second; percents are the same loads in per cent of the capacity.
	rates       []float64
	percents    []float64
	repetitions int
}

// MatrixCell holds the reports of the repeated runs of one policy at one load.
type MatrixCell struct {
	Policy  string   `json:"policy"`
	Percent float64  `json:"percent"`
	Rate    float64  `json:"rate"`
	Reports []Report `json:"reports"`
}

func matrixCommand() *cli.Command {
	return &cli.Command{
		Name:  "matrix",
		Usage: "compare policies at several loads, repeating each run with consecutive seeds",
		Flags: append(scenarioFlags(),
			&cli.StringSliceFlag{Name: "policy", Usage: "policies to compare; all by default"},
			&cli.FloatSliceFlag{Name: "percent", Value: []float64{50, 90, 120, 200}, Usage: "loads, in per cent of the capacity"},
			&cli.FloatFlag{Name: "capacity", Usage: "requests per second at 100 per cent load; 0 measures the capacity"},
			&cli.IntFlag{Name: "repeat", Value: 5, Usage: "runs of each policy at each load"},
			&cli.StringFlag{Name: "json", Usage: "file to write all reports to"},
		),
		Action: matrixAction,
	}
}

func matrixAction(ctx context.Context, c *cli.Command) error {
	m := matrixSpec{percents: c.FloatSlice("percent"), repetitions: c.Int("repeat")}
	var err error
	if m.scenario, err = scenarioFromFlags(c); err != nil {
		return err
	}
	if m.policies, err = selectPolicies(c.StringSlice("policy")); err != nil {
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
		m.scenario.Name, m.scenario.Seed, capacity, m.repetitions)
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

// selectPolicies returns the policies with the given names, or all policies if there are no names.
func selectPolicies(names []string) ([]Policy, error) {
	if len(names) == 0 {
		return Policies(), nil
	}
	var policies []Policy
	for _, name := range names {
		p, ok := PolicyByName(name)
		if !ok {
			return nil, Error.New("unknown --policy %q; the policies are: %s", name, policyNames())
		}
		policies = append(policies, p)
	}
	return policies, nil
}

func policyNames() string {
	var names []string
	for _, p := range Policies() {
		names = append(names, p.Name)
	}
	return strings.Join(names, ", ")
}

// run measures every cell. It alternates policies within each repetition, so that varying load on
// the machine affects all of them.
func (m matrixSpec) run(ctx context.Context, progress io.Writer) ([]MatrixCell, error) {
	cells := make([]MatrixCell, 0, len(m.rates)*len(m.policies))
	for i, rate := range m.rates {
		for _, policy := range m.policies {
			cells = append(cells, MatrixCell{Policy: policy.Name, Percent: m.percents[i], Rate: rate})
		}
	}
	log := &printer{w: progress}
	for repetition := range m.repetitions {
		for i := range cells {
			policy := m.policies[i%len(m.policies)]
			report, err := m.runOnce(ctx, policy, cells[i].Rate, repetition)
			if err != nil {
				return nil, err
			}
			cells[i].Reports = append(cells[i].Reports, report)
			log.line("repetition %d, policy %s at %.0f%% load: %.1f%% attained", repetition+1, policy.Name, cells[i].Percent, 100*report.Total.Attainment)
		}
	}
	return cells, nil
}

// runOnce runs one policy at one rate on a new local fleet, with the seed of the repetition.
func (m matrixSpec) runOnce(ctx context.Context, policy Policy, rate float64, repetition int) (Report, error) {
	scenario := m.scenario
	scenario.Rate = rate
	scenario.Seed += uint64(repetition)
	fleet, err := NewLocalFleet(scenario, policy)
	if err != nil {
		return Report{}, err
	}
	defer fleet.Close()
	samples, err := Run(ctx, scenario, fleet, io.Discard)
	if err != nil {
		return Report{}, err
	}
	return Summarise(scenario, policy.Name, samples, fleet.Stats()), nil
}

// printMatrix writes a Markdown table with the mean and range of each metric for every cell.
func printMatrix(w io.Writer, cells []MatrixCell) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	p := &printer{w: table}
	p.line("| load\t| policy\t| attained %%\t| goodput /s\t| p50 ms\t| p99 ms\t| refusal p99 ms\t| endpoint s / answer\t| tokens / answer\t| wasted %%\t| retries %%\t|")
	p.line("|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, cell := range cells {
		row := "| " + formatFigure(cell.Percent) + "%\t| " + cell.Policy
		for _, m := range metrics() {
			row += "\t| " + formatMeanAndRange(cell.Reports, m.value)
		}
		p.line("%s", row+"\t|")
	}
	if p.err != nil {
		return Error.Wrap(p.err)
	}
	return Error.Wrap(table.Flush())
}

// formatMeanAndRange formats the mean of a metric over the runs, with the minimum and maximum in
// parentheses.
func formatMeanAndRange(reports []Report, value func(Report) float64) string {
	sum, lowest, highest := 0.0, math.Inf(1), math.Inf(-1)
	for _, r := range reports {
		figure := value(r)
		sum += figure
		lowest, highest = min(lowest, figure), max(highest, figure)
	}
	return formatFigure(sum/float64(len(reports))) + " (" + formatFigure(lowest) + "-" + formatFigure(highest) + ")"
}

// formatFigure formats a figure with two decimal places below 10, one below 100, and none from 100.
func formatFigure(figure float64) string {
	digits := 2
	switch {
	case math.Abs(figure) >= 100:
		digits = 0
	case math.Abs(figure) >= 10:
		digits = 1
	}
	return strconv.FormatFloat(figure, 'f', digits, 64)
}
