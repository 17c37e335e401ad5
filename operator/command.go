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

// Flags that several commands share.
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

// Platform is the part of the platform that the commands use.
type Platform interface {
	platform.Store
	platform.Directory
}

// Options configures the commands.
type Options struct {
	// Connect returns the platform at a URL; nil means the platform's HTTP client.
	Connect func(url string) (Platform, error)
}

// Root returns the azurelead command with the given subcommands.
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
	return []*cli.Command{settingsCommand(o), dataCentreCommand(o), statusCommand(o), rolloutCommand(), versionCommand()}
}

func connect(address string) (Platform, error) {
	return platform.NewClient(platform.ClientOptions{URL: address})
}

// session holds the platform connection and arguments of one command.
type session struct {
	c        *cli.Command
	platform Platform
	// baseVersion is the settings version that a change is based on; 0 is the latest.
	baseVersion settings.Version
}

// withSession returns an action that connects to the platform and runs action within the timeout of
// the command.
func (o Options) withSession(action func(ctx context.Context, s *session) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		p, err := o.Connect(c.String(flagPlatform))
		if err != nil {
			return usageError("flag --%s: %s", flagPlatform, err)
		}
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
		defer cancel()
		return action(ctx, &session{c: c, platform: p, baseVersion: c.Uint64(flagBase)})
	}
}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagPlatform, Usage: "`URL` of the platform's object API", Required: true,
			Sources: cli.EnvVars("AZURELEAD_PLATFORM"), Validator: checkURL},
		outputFlag(),
		&cli.DurationFlag{Name: flagTimeout, Usage: "`TIME` after which the command gives up", Value: defaultTimeout,
			Sources: cli.EnvVars("AZURELEAD_TIMEOUT"), Validator: checkPositive},
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: flagOutput, Usage: "output `FORMAT`: text or json", Value: formatText,
		Sources: cli.EnvVars("AZURELEAD_OUTPUT"), Validator: checkOneOf(formatText, formatJSON)}
}

func changeFlags() []cli.Flag {
	return append(commonFlags(),
		&cli.BoolFlag{Name: flagDryRun, Usage: "show what would change without changing it"},
		&cli.Uint64Flag{Name: flagBase, Usage: "settings `VERSION` that the change is based on; 0 is the latest"},
		&cli.StringFlag{Name: flagChangeID, Usage: "`ID` of the change, to repeat a change whose outcome is unknown (default: a new one)"},
		&cli.StringFlag{Name: flagAuthor, Usage: "`NAME` for the history (default: the user who runs the command)",
			Sources: cli.EnvVars("AZURELEAD_AUTHOR")},
		&cli.BoolFlag{Name: flagPlain, Usage: "notify agents of the change over links without TLS", Sources: cli.EnvVars("AZURELEAD_PLAIN")},
		linkFileFlag(flagLinkCert, "the certificate that is presented to agents when they are notified", "AZURELEAD_LINK_CERT"),
		linkFileFlag(flagLinkKey, "the key of that certificate", "AZURELEAD_LINK_KEY"),
		linkFileFlag(flagLinkCA, "the certificate authorities of the agents", "AZURELEAD_LINK_CA"),
	)
}

func linkFileFlag(name, content, env string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: "`FILE` with " + content, Sources: cli.EnvVars(env)}
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

// applyChange submits an edit of the settings, or shows its effect if the command is a dry run, and
// announces an accepted change to agents.
func (s *session) applyChange(ctx context.Context, edit settings.EditFunc) error {
	if s.c.Bool(flagDryRun) {
		return s.reportChange(changeResult{Outcome: settings.Plan(ctx, s.platform, s.baseVersion, edit), DryRun: true})
	}
	config, links, err := s.linkConfig()
	if err != nil {
		return err
	}
	var agents []platform.Instance
	if links {
		// Read before the change, because the store may be unreachable after it.
		agents, _ = s.platform.Instances(ctx)
	}
	id := settings.ChangeID(s.c.String(flagChangeID))
	if id == "" {
		id = settings.ChangeID(uuid.NewString())
	}
	result := changeResult{Outcome: settings.Accept(ctx, s.platform, s.baseVersion, edit, id, s.author())}
	if links && result.Tree != nil {
		result.Announced, err = Announce(ctx, result.Tree, agents, config)
	}
	return errors.Join(err, s.reportChange(result))
}

// linkConfig returns the TLS configuration of links to agents, and whether agents are notified at
// all. The configuration is nil for links without TLS.
func (s *session) linkConfig() (*tls.Config, bool, error) {
	o := certs.Options{Cert: s.c.String(flagLinkCert), Key: s.c.String(flagLinkKey), CA: s.c.String(flagLinkCA)}
	if o.Cert+o.Key+o.CA == "" {
		return nil, s.c.Bool(flagPlain), nil
	}
	id, err := certs.Load(o)
	if err != nil {
		return nil, false, usageError("flags --%s, --%s and --%s: %s", flagLinkCert, flagLinkKey, flagLinkCA, err)
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
			return writeResult(c, v, func(p *printer) { p.line("azurelead %s (%s)", v.Version, v.Go) })
		},
	}
}

// buildInfo holds the versions of this program and its Go toolchain.
type buildInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func buildVersion() buildInfo {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return buildInfo{Version: "unknown"}
	}
	return buildInfo{Version: info.Main.Version, Go: info.GoVersion}
}
