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

// maxControlResponseBytes is the most that is read of a control endpoint's response.
const maxControlResponseBytes = 64 << 10

// control is the base URL of a stand-in of a running fleet, with the pool that it belongs to.
type control struct{ pool, url string }

// RemoteFleet is a running fleet that is addressed by URLs.
type RemoteFleet struct {
	entries  []string
	tokens   map[string]string
	controls []control
}

var _ Fleet = (*RemoteFleet)(nil)

// NewRemoteFleet returns a fleet with the given base URLs of entries and bearer tokens by
// organisation. Each control has the form pool=URL and is the base URL of a stand-in.
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

// Stats implements Fleet. It returns no counters: those of a running fleet's stand-ins are read
// from their own control endpoints.
func (r *RemoteFleet) Stats() FleetStats { return FleetStats{} }

// Apply implements Fleet. It supports only the faults that control endpoints inject. It ignores the
// event's data centre. The operators' command takes a data centre out of service instead.
func (r *RemoteFleet) Apply(ctx context.Context, e Event) error {
	switch e.Do {
	case ActionDataCentreOut, ActionDataCentreIn, ActionStoreDown, ActionStoreUp:
		return Error.New("%s is not supported on a running fleet", e.Do)
	}
	applied := 0
	for _, c := range r.controls {
		if e.Pool != "" && e.Pool != c.pool || e.Count > 0 && applied >= e.Count {
			continue
		}
		applied++
		if err := postJSON(ctx, c.url+"/control/faults", faultsFor(e)); err != nil {
			return err
		}
	}
	if applied == 0 {
		return Error.New("no --control matches pool %q", e.Pool)
	}
	return nil
}

// faultsFor returns the faults of an event. Engines accept the same JSON members as other
// stand-ins.
func faultsFor(e Event) standin.WorkerFaults {
	return standin.WorkerFaults{
		Slow: slowFactor(e), FailAll: e.Do == ActionFail, MakeCold: e.Do == ActionMakeCold, Crash: e.Do == ActionCrash,
	}
}

// postJSON posts v as JSON. It returns an error for a status of 400 or above.
func postJSON(ctx context.Context, url string, v any) error {
	content, err := json.Marshal(v)
	if err != nil {
		return Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxControlResponseBytes))
	if response.StatusCode >= http.StatusBadRequest {
		return Error.New("%s: status %d", url, response.StatusCode)
	}
	return nil
}
