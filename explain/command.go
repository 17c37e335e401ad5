package explain

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"
)

// Command returns the azurelead explain command.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain from the processes' logs how a request ended and why",
		ArgsUsage: "ID",
		Flags: []cli.Flag{&cli.StringSliceFlag{
			Name: "log", Usage: "`FILE` with a process's log; may be given more than once", Required: true,
		}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return Error.New("one request id is needed, %d given", c.Args().Len())
			}
			var lines []Line
			for _, path := range c.StringSlice("log") {
				fileLines, err := readFile(path)
				if err != nil {
					return err
				}
				lines = append(lines, fileLines...)
			}
			return NewReport(c.Args().First(), lines).Write(c.Root().Writer)
		},
	}
}

func readFile(path string) ([]Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return Read(f, filepath.Base(path))
}
