package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/url"
	"os/user"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/certs"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
)

// Names of flags that more than one command has.
const (
	flagPlatform = "platform"
	flagOutput   = "output"
	flagTimeout  = "timeout"
	flagDryRun   = "dry-run"
	flagBase     = "base"
	flagChangeID = "change-id"
	flagAuthor   = "author"
	flagFile     = "file"
	flagPlain    = "plain"
	flagLinkCert = "link-cert"
	flagLinkKey  = "link-key"
	flagLinkCA   = "link-ca"

	defaultTimeout = 10 * time.Second
)

// Platform is what the commands need of the platform.
type Platform interface {
	platform.Store
	platform.Directory
}

// Options configure the commands.
type Options struct {
	// Connect returns the platform at a URL; nil means its HTTP client.
	Connect func(url string) (Platform, error)
}

// Root returns the command azurelead with the given commands below it.
func Root(commands ...*cli.Command) *cli.Command {
	return &cli.Command{
		Name:        "azurelead",
		Usage:       "operate a fleet that serves multi-stage model pipelines",
		Description: exitHelp,
		Commands:    commands,
		HideVersion: true,
	}
}

// Commands returns the operators' commands.
func Commands(o Options) []*cli.Command {
	if o.Connect == nil {
		o.Connect = connect
	}
	return []*cli.Command{settingsCommand(o), dataCentreCommand(o), statusCommand(o), versionCommand()}
}

func connect(address string) (Platform, error) {
	return platform.NewClient(platform.ClientOptions{URL: address})
}

// session is what one command works with.
type session struct {
	c        *cli.Command
	platform Platform
	// base is the version that a change was made against; 0 is the latest.
	base settings.Version
}

// with runs action with a connection, within the time that the operator gives.
func (o Options) with(action func(ctx context.Context, s *session) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		p, err := o.Connect(c.String(flagPlatform))
		if err != nil {
			return usage("flag --%s: %s", flagPlatform, err)
		}
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
		defer cancel()
		return action(ctx, &session{c: c, platform: p, base: c.Uint64(flagBase)})
	}
}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagPlatform, Usage: "`URL` of the platform's object API", Required: true,
			Sources: cli.EnvVars("AZURELEAD_PLATFORM"), Validator: checkURL},
		outputFlag(),
		&cli.DurationFlag{Name: flagTimeout, Usage: "give up after this `TIME`", Value: defaultTimeout,
			Sources: cli.EnvVars("AZURELEAD_TIMEOUT"), Validator: checkPositive},
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: flagOutput, Usage: "`FORMAT` of the answer: text or json", Value: formatText,
		Sources: cli.EnvVars("AZURELEAD_OUTPUT"), Validator: checkOneOf(formatText, formatJSON)}
}

func changeFlags() []cli.Flag {
	return append(commonFlags(),
		&cli.BoolFlag{Name: flagDryRun, Usage: "show what would change, and change nothing"},
		&cli.Uint64Flag{Name: flagBase, Usage: "settings `VERSION` that the change was made against; 0 is the latest"},
		&cli.StringFlag{Name: flagChangeID, Usage: "`ID` of the change, to settle one whose outcome is unknown (default: a fresh one)"},
		&cli.StringFlag{Name: flagAuthor, Usage: "`NAME` for the history (default: the user who runs the command)",
			Sources: cli.EnvVars("AZURELEAD_AUTHOR")},
		&cli.BoolFlag{Name: flagPlain, Usage: "tell agents of the change over links without TLS", Sources: cli.EnvVars("AZURELEAD_PLAIN")},
		linkFile(flagLinkCert, "the certificate with which agents are told of the change", "AZURELEAD_LINK_CERT"),
		linkFile(flagLinkKey, "the key of that certificate", "AZURELEAD_LINK_KEY"),
		linkFile(flagLinkCA, "the authorities that signed the agents' certificates", "AZURELEAD_LINK_CA"),
	)
}

func linkFile(name, holds, env string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: "`FILE` with " + holds, Sources: cli.EnvVars(env)}
}

func checkURL(v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("%q is not allowed; give a URL such as http://127.0.0.1:9000", v)
	}
	return nil
}

func checkPositive(d time.Duration) error {
	if d <= 0 {
		return fmt.Errorf("%s is not allowed; give a time above 0s", d)
	}
	return nil
}

func checkCount(n int) error {
	if n < 1 {
		return fmt.Errorf("%d is not allowed; give a number above 0", n)
	}
	return nil
}

func checkOneOf(allowed ...string) func(string) error {
	return func(v string) error {
		if slices.Contains(allowed, v) {
			return nil
		}
		return fmt.Errorf("%q is not allowed; give one of %s", v, strings.Join(allowed, ", "))
	}
}

// change brings an edit into force, or shows what it would do.
func (s *session) change(ctx context.Context, edit settings.EditFunc) error {
	if s.c.Bool(flagDryRun) {
		return s.report(changeAnswer{Outcome: settings.Plan(ctx, s.platform, s.base, edit), DryRun: true})
	}
	config, links, err := s.links()
	if err != nil {
		return err
	}
	var agents []platform.Instance
	if links {
		// Read before the change, since the store may be gone after it.
		agents, _ = s.platform.Instances(ctx)
	}
	id := settings.ChangeID(s.c.String(flagChangeID))
	if id == "" {
		id = settings.ChangeID(uuid.NewString())
	}
	a := changeAnswer{Outcome: settings.Accept(ctx, s.platform, s.base, edit, id, s.author())}
	if links && a.Tree != nil {
		a.Announced, err = Announce(ctx, a.Tree, agents, config)
	}
	return errors.Join(err, s.report(a))
}

// links returns how agents are reached, and whether they may be.
func (s *session) links() (*tls.Config, bool, error) {
	o := certs.Options{Cert: s.c.String(flagLinkCert), Key: s.c.String(flagLinkKey), CA: s.c.String(flagLinkCA)}
	if o.Cert+o.Key+o.CA == "" {
		return nil, s.c.Bool(flagPlain), nil
	}
	id, err := certs.Load(o)
	if err != nil {
		return nil, false, usage("flags --%s, --%s and --%s: %s", flagLinkCert, flagLinkKey, flagLinkCA, err)
	}
	return id.ClientConfig(), true, nil
}

func (s *session) author() string {
	if name := s.c.String(flagAuthor); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "show the version of this program",
		Flags: []cli.Flag{outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			v := buildVersion()
			return write(c, v, func(p *printer) { p.line("azurelead %s (%s)", v.Version, v.Go) })
		},
	}
}

// build is the version of this program.
type build struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func buildVersion() build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return build{Version: "unknown"}
	}
	return build{Version: info.Main.Version, Go: info.GoVersion}
}
