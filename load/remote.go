package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/azurelead/azurelead/standin"
)

// maxControlBytes bounds what is read of a control page's answer.
const maxControlBytes = 64 << 10

// control is the control page of one stand-in of a running fleet.
type control struct{ pool, url string }

// RemoteFleet is a running fleet that is reached by its URLs.
type RemoteFleet struct {
	entries  []string
	tokens   map[string]string
	controls []control
}

var _ Fleet = (*RemoteFleet)(nil)

// NewRemoteFleet returns a fleet of entries; controls are pool=URL of stand-ins.
func NewRemoteFleet(entries []string, tokens map[string]string, controls []string) (*RemoteFleet, error) {
	r := &RemoteFleet{tokens: tokens}
	for _, e := range entries {
		r.entries = append(r.entries, strings.TrimSuffix(e, "/"))
	}
	for _, c := range controls {
		pool, url, ok := strings.Cut(c, "=")
		if !ok {
			return nil, Error.New("--control %q is not pool=URL", c)
		}
		r.controls = append(r.controls, control{pool: pool, url: strings.TrimSuffix(url, "/")})
	}
	return r, nil
}

// Entries implements Fleet.
func (r *RemoteFleet) Entries() []string { return r.entries }

// Tokens implements Fleet.
func (r *RemoteFleet) Tokens() map[string]string { return r.tokens }

// Stats implements Fleet. A running fleet's stand-ins are asked by their own
// control pages, not here.
func (r *RemoteFleet) Stats() FleetStats { return FleetStats{} }

// Apply implements Fleet. It brings about what control pages can: a data
// centre is taken out by the operators' command.
func (r *RemoteFleet) Apply(ctx context.Context, e Event) error {
	switch e.Do {
	case ActionDataCentreOut, ActionDataCentreIn, ActionStoreDown, ActionStoreUp:
		return Error.New("%s is not for a running fleet", e.Do)
	}
	hit := 0
	for _, c := range r.controls {
		if e.Pool != "" && e.Pool != c.pool || e.Count > 0 && hit >= e.Count {
			continue
		}
		hit++
		if err := post(ctx, c.url+"/control/faults", faultsOf(e)); err != nil {
			return err
		}
	}
	if hit == 0 {
		return Error.New("no --control for pool %q", e.Pool)
	}
	return nil
}

// faultsOf makes the faults of an event. Engines take the same members.
func faultsOf(e Event) standin.WorkerFaults {
	return standin.WorkerFaults{
		Slow: slowOf(e), FailAll: e.Do == ActionFail, MakeCold: e.Do == ActionMakeCold, Crash: e.Do == ActionCrash,
	}
}

func post(ctx context.Context, url string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return Error.Wrap(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxControlBytes))
	if resp.StatusCode >= http.StatusBadRequest {
		return Error.New("%s: status %d", url, resp.StatusCode)
	}
	return nil
}
