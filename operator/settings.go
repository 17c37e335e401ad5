package operator

import (
	"bytes"
	"context"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/settings"
)

// Flags of the settings commands.
const (
	flagOrganisation = "organisation"
	flagPipeline     = "pipeline"
	flagStage        = "stage"
	flagDataCentre   = "data-centre"
	flagPool         = "pool"
	flagEndpoint     = "endpoint"
	flagAt           = "at"
	flagFrom         = "from"
	flagTo           = "to"
	flagLimit        = "limit"

	defaultLimit = 20
)

func settingsCommand(o Options) *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "read and change the fleet's settings", Description: exitHelp,
		Commands: []*cli.Command{getCommand(o), applyCommand(o), diffCommand(o), historyCommand(o), checkCommand()},
	}
}

func getCommand(o Options) *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "show the settings, or resolved values with the level that each is set at",
		Description: "Without a selector, the whole tree is shown, in the format that apply reads.\n" +
			"With --organisation and --pipeline, the request settings of each stage are resolved,\n" +
			"with --data-centre and --pool those of endpoints.\n\n" + exitHelp,
		Flags: append(commonFlags(),
			&cli.StringFlag{Name: flagOrganisation, Usage: "resolve for this organisation, by `NAME`"},
			&cli.StringFlag{Name: flagPipeline, Usage: "resolve for this pipeline, by `NAME`"},
			&cli.StringFlag{Name: flagStage, Usage: "resolve for this stage only, by `NAME`"},
			&cli.StringFlag{Name: flagDataCentre, Usage: "resolve for this data centre, by `NAME`"},
			&cli.StringFlag{Name: flagPool, Usage: "resolve for this pool, by `NAME`"},
			&cli.StringFlag{Name: flagEndpoint, Usage: "resolve for this endpoint, by `NAME`"},
			&cli.Uint64Flag{Name: flagAt, Usage: "show an earlier `VERSION`; 0 is the latest"},
		),
		Action: o.withSession(getSettings),
	}
}

func applyCommand(o Options) *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "apply a file with the settings",
		Description: "The file holds the whole tree, as get shows it. Its first line names the version that it is based\n" +
			"on, unless --base is given. Later changes by others are kept, and the change is refused if\n" +
			"both changed the same value.\n\n" + exitHelp,
		Flags:  append(changeFlags(), fileFlag(true)),
		Action: o.withSession(applySettings),
	}
}

func diffCommand(o Options) *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show the differences between two versions, or between the latest and a file",
		Description: exitHelp,
		Flags: append(commonFlags(), fileFlag(false),
			&cli.Uint64Flag{Name: flagFrom, Usage: "earlier `VERSION`; 0 is the latest"},
			&cli.Uint64Flag{Name: flagTo, Usage: "later `VERSION`; 0 is the latest"},
		),
		Action: o.withSession(diffSettings),
	}
}

func historyCommand(o Options) *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the latest accepted changes, newest first", Description: exitHelp,
		Flags: append(commonFlags(),
			&cli.IntFlag{Name: flagLimit, Usage: "maximum `NUMBER` of changes to list", Value: defaultLimit, Validator: checkCount},
		),
		Action: o.withSession(showHistory),
	}
}

func fileFlag(required bool) cli.Flag {
	return &cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Required: required,
		Usage: "`FILE` with the whole tree in YAML or JSON; - is standard input"}
}

// loadSnapshot returns the settings tree at a version; 0 is the latest.
func (s *session) loadSnapshot(ctx context.Context, at settings.Version) (*settings.Snapshot, error) {
	stored, err := settings.Load(ctx, s.platform, nil)
	if err != nil {
		return nil, err
	}
	if at == 0 {
		return stored.Snapshot()
	}
	d, err := stored.DocumentAt(ctx, s.platform, at)
	if settings.Outdated.Has(err) {
		return nil, usageError("%s", err)
	}
	return &settings.Snapshot{Version: at, Document: d}, err
}

func getSettings(ctx context.Context, s *session) error {
	snapshot, err := s.loadSnapshot(ctx, s.c.Uint64(flagAt))
	if err != nil {
		return err
	}
	scopes, err := s.resolveScopes(snapshot)
	if err != nil {
		return err
	}
	if scopes != nil {
		return writeResult(s.c, scopes, func(p *printer) { printScopes(p, scopes) })
	}
	text, err := settings.Format(snapshot.Document)
	if err != nil {
		return err
	}
	return writeResult(s.c, treeResult{Version: snapshot.Version, Document: snapshot.Document}, func(p *printer) {
		p.line("%s%d", versionPrefix, snapshot.Version)
		p.line("%s", bytes.TrimSpace(text))
	})
}

// treeResult is the whole settings tree with its version.
type treeResult struct {
	Version  settings.Version  `json:"version"`
	Document settings.Document `json:"document"`
}

// scope holds the resolved values of one pipeline stage or endpoint.
type scope struct {
	Name   string           `json:"of"`
	Values []settings.Value `json:"values"`
}

// selectorRequirements lists pairs of flags: the first is allowed only together with the second.
var selectorRequirements = [][2]string{
	{flagPool, flagDataCentre}, {flagEndpoint, flagPool},
	{flagOrganisation, flagPipeline}, {flagPipeline, flagOrganisation}, {flagStage, flagPipeline},
}

func (s *session) checkSelectors() error {
	for _, pair := range selectorRequirements {
		if s.c.IsSet(pair[0]) && !s.c.IsSet(pair[1]) {
			return usageError("flag --%s %q: allowed only together with --%s", pair[0], s.c.String(pair[0]), pair[1])
		}
	}
	if s.c.IsSet(flagDataCentre) && s.c.IsSet(flagPipeline) {
		return usageError("flag --%s %q: not allowed together with --%s", flagDataCentre, s.c.String(flagDataCentre), flagPipeline)
	}
	return nil
}

// resolveScopes returns the scopes that the selector flags name, or nil if no selector is given.
func (s *session) resolveScopes(snapshot *settings.Snapshot) ([]scope, error) {
	if err := s.checkSelectors(); err != nil {
		return nil, err
	}
	if dc := s.c.String(flagDataCentre); dc != "" {
		pool, endpoint := s.c.String(flagPool), s.c.String(flagEndpoint)
		return []scope{{Name: dc + "/" + pool + "/" + endpoint, Values: snapshot.ExplainEndpoint(dc, pool, endpoint)}}, nil
	}
	organisation, name := s.c.String(flagOrganisation), s.c.String(flagPipeline)
	if organisation == "" && name == "" {
		return nil, nil
	}
	p, ok := snapshot.Pipeline(organisation, name)
	if !ok {
		return nil, usageError("flags --%s %q and --%s %q: no such pair; both have to exist in the settings",
			flagOrganisation, organisation, flagPipeline, name)
	}
	var out []scope
	for _, st := range p.Stages {
		if wantStage := s.c.String(flagStage); wantStage != "" && wantStage != st.Name {
			continue
		}
		out = append(out, scope{Name: name + "/" + st.Name, Values: snapshot.ExplainRequest(organisation, name, st.Name)})
	}
	if out == nil {
		return nil, usageError("flag --%s %q: pipeline %s has no such stage", flagStage, s.c.String(flagStage), name)
	}
	return out, nil
}

func printScopes(p *printer, scopes []scope) {
	for _, sc := range scopes {
		p.line("%s", sc.Name)
		for _, v := range sc.Values {
			p.line("  %-15s %-10s from %s", v.Name, displayValue(v.Value), v.Level)
		}
	}
}

func displayValue(v any) any {
	if d, ok := v.(settings.Duration); ok {
		return time.Duration(d)
	}
	return v
}

func applySettings(ctx context.Context, s *session) error {
	d, base, err := s.readFile()
	if err != nil {
		return err
	}
	if !s.c.IsSet(flagBase) {
		s.baseVersion = base
	}
	return s.applyChange(ctx, func(settings.Document) (settings.Document, error) { return d, nil })
}

// versionPrefix precedes the version on the first line of the output of get. It lets apply keep what
// others changed while a file was edited.
const versionPrefix = "# version "

// readFile reads the settings file of the command, and the version that its first line names. The
// version is 0 if the line names none.
func (s *session) readFile() (settings.Document, settings.Version, error) {
	text, err := s.readInput()
	if err != nil {
		return settings.Document{}, 0, usageError("flag --%s: %s", flagFile, err)
	}
	first, _, _ := strings.Cut(string(text), "\n")
	base, _ := strconv.ParseUint(strings.TrimPrefix(first, versionPrefix), 10, 64)
	d, err := settings.Parse(bytes.NewReader(text))
	return d, base, err
}

func (s *session) readInput() ([]byte, error) {
	if name := s.c.String(flagFile); name != "-" {
		return os.ReadFile(name)
	}
	return io.ReadAll(s.c.Root().Reader)
}

// diffResult holds the differences between two settings trees.
type diffResult struct {
	From  settings.Version `json:"from"`
	To    settings.Version `json:"to,omitempty"`
	Edits []settings.Edit  `json:"edits"`
}

func diffSettings(ctx context.Context, s *session) error {
	from, err := s.loadSnapshot(ctx, s.c.Uint64(flagFrom))
	if err != nil {
		return err
	}
	to := &settings.Snapshot{}
	if s.c.String(flagFile) != "" {
		to.Document, _, err = s.readFile()
	} else {
		to, err = s.loadSnapshot(ctx, s.c.Uint64(flagTo))
	}
	if err != nil {
		return err
	}
	result := diffResult{From: from.Version, To: to.Version, Edits: settings.Diff(from.Document, to.Document)}
	return writeResult(s.c, result, func(p *printer) {
		for _, e := range result.Edits {
			p.line("%s", e)
		}
	})
}

func showHistory(ctx context.Context, s *session) error {
	stored, err := settings.Load(ctx, s.platform, nil)
	if err != nil {
		return err
	}
	changes := stored.History()
	changes = changes[:min(len(changes), s.c.Int(flagLimit))]
	return writeResult(s.c, changes, func(p *printer) {
		for _, c := range changes {
			p.line("%d  %s  %s  %s  %d objects %s", c.Version, c.CreatedAt.Format(time.RFC3339), c.Author, c.ID, c.ObjectCount, c.Objects())
		}
	})
}
