package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/contract"
)

// Error is the class of errors in the options and answers of endpoints.
var Error = errs.Class("endpoint")

// Headers of the published protocols. See docs/PROTOCOLS.md.
const (
	headerRunState = "X-Run-State"
	headerAttempt  = "X-Attempt-Id"
	headerBoot     = "X-Boot-Id"
)

const (
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// probeTimeout bounds the question whether an endpoint died.
	probeTimeout = 250 * time.Millisecond
	// idleConnections is how many connections are kept for the next calls.
	idleConnections = 64
	// maxAnswerBytes bounds one answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// maxErrorBytes bounds the explanation of a refusal.
	maxErrorBytes = 4 << 10
)

// Options configure an endpoint's driver.
type Options struct {
	// URL is the endpoint's address, as in http://127.0.0.1:9000.
	URL string
}

// caller makes HTTP calls of one endpoint and decides for each failure
// whether the call may have run and whether the endpoint died.
type caller struct {
	base string
	http *http.Client
	boot atomic.Pointer[contract.BootID] // the last one seen
}

func newCaller(o Options) (*caller, error) {
	if !strings.HasPrefix(o.URL, "http://") && !strings.HasPrefix(o.URL, "https://") {
		return nil, Error.New("%q is not an absolute URL", o.URL)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
	return &caller{base: strings.TrimSuffix(o.URL, "/"), http: &http.Client{Transport: transport}}, nil
}

// Close drops idle connections.
func (c *caller) Close() { c.http.CloseIdleConnections() }

// Probe implements Prober.
func (c *caller) Probe(ctx context.Context) (Health, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/healthz", nil)
	if err != nil {
		return Health{}, Error.Wrap(err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return Health{}, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Health{}, Error.New("health: status %d", resp.StatusCode)
	}
	var h Health
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&h); err != nil {
		return Health{}, Error.Wrap(err)
	}
	c.sawBoot(h.Boot)
	return h, nil
}

// post sends a call. On failure it returns a Result with its problem set.
func (c *caller) post(ctx context.Context, path string, id contract.AttemptID, body any) (*http.Response, *Result) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, failed(contract.CodeBadRequest, contract.NotRun, "encode the call: %v", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, failed(contract.CodeInternal, contract.NotRun, "make the call: %v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(headerAttempt, string(id))
	before := c.lastBoot()
	var sent connectionWatch
	resp, err := c.http.Do(sent.watch(r))
	if err != nil {
		return nil, c.broken(ctx, err, sent.run(err), before)
	}
	c.sawBoot(bootOf(resp))
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, refused(resp)
	}
	return resp, nil
}

// postJSON sends a call and decodes its answer. On failure it returns a
// Result with its problem set.
func (c *caller) postJSON(ctx context.Context, path string, id contract.AttemptID, body, answer any) *Result {
	resp, bad := c.post(ctx, path, id, body)
	if bad != nil {
		return bad
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return c.broken(ctx, err, contract.MayHaveRun, bootOf(resp))
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return failed(contract.CodeEndpointFailed, contract.MayHaveRun, "answer: %v", err)
	}
	return nil
}

// broken is the result of a call whose connection failed; boot is the life of
// the endpoint that had the call, as far as it is known.
func (c *caller) broken(ctx context.Context, err error, run contract.RunState, boot contract.BootID) *Result {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return failed(contract.CodeDeadlineExceeded, run, "the endpoint did not answer in time")
	case context.Canceled:
		return failed(contract.CodeCancelled, run, "the call was cancelled")
	}
	r := failed(contract.CodeEndpointFailed, run, "%v", err)
	r.Crashed = run != contract.NotRun && c.died(ctx, boot)
	return r
}

// died asks whether the endpoint's process is gone or is another one, since a
// connection may also break between two living processes. An endpoint that is
// merely silent is not taken for dead.
func (c *caller) died(ctx context.Context, boot contract.BootID) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	h, err := c.Probe(ctx)
	if err != nil {
		return ctx.Err() == nil
	}
	return boot != "" && boot != h.Boot
}

func (c *caller) lastBoot() contract.BootID {
	if boot := c.boot.Load(); boot != nil {
		return *boot
	}
	return ""
}

func (c *caller) sawBoot(boot contract.BootID) {
	if boot != "" && boot != c.lastBoot() {
		c.boot.Store(&boot)
	}
}

func bootOf(resp *http.Response) contract.BootID {
	return contract.BootID(resp.Header.Get(headerBoot))
}
