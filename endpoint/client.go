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
	"github.com/azurelead/azurelead/memorybudget"
)

// Error is the class of errors of invalid options, failed probes and watches, and malformed events.
var Error = errs.Class("endpoint")

// Headers of the endpoint protocols. See docs/PROTOCOLS.md.
const (
	headerRunState  = "X-Run-State"
	headerAttemptID = "X-Attempt-Id"
	headerBootID    = "X-Boot-Id"
)

const (
	// dialTimeout limits the time to establish a connection.
	dialTimeout = time.Second
	// probeTimeout limits the probe that checks whether an endpoint has crashed.
	probeTimeout = 250 * time.Millisecond
	// maxIdleConnections is the number of idle connections kept for reuse.
	maxIdleConnections = 64
	// maxResponseBytes limits the size of a response that is not a stream.
	maxResponseBytes = 16 << 20
	// maxHeaderBytes limits the head of a response.
	maxHeaderBytes = 64 << 10
	// responseBudget bounds the memory that the responses of all calls take together, in bytes. One driver is its only
	// owner, which may hold half of it.
	responseBudget = 4 * maxResponseBytes
	// maxErrorBytes limits the size of the body of a health or error response.
	maxErrorBytes = 4 << 10
)

// Options configures the driver of an endpoint.
type Options struct {
	// URL is the base URL of the endpoint, such as http://127.0.0.1:9000.
	URL string
}

// client makes HTTP calls to one endpoint. For each failed call it determines whether the call may
// have run and whether the endpoint has crashed.
type client struct {
	base string
	http *http.Client
	// memory bounds the responses that are not streams.
	memory *memorybudget.Budget
	boot   atomic.Pointer[contract.BootID] // the last boot id received; nil if there is none
}

func newClient(o Options) (*client, error) {
	if !strings.HasPrefix(o.URL, "http://") && !strings.HasPrefix(o.URL, "https://") {
		return nil, Error.New("%q is not an absolute URL", o.URL)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
		// The default is sized for browsers.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &client{
		base: strings.TrimSuffix(o.URL, "/"), http: &http.Client{Transport: transport}, memory: memorybudget.New(responseBudget),
	}, nil
}

// Close closes idle connections.
func (c *client) Close() { c.http.CloseIdleConnections() }

// Probe implements Prober.
func (c *client) Probe(ctx context.Context) (Health, error) {
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
	c.recordBoot(h.Boot)
	return h, nil
}

// post sends a call and returns the response if its status is 200. On failure it returns a Result
// with its Problem set.
func (c *client) post(ctx context.Context, path string, id contract.AttemptID, body any) (*http.Response, *Result) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, failed(contract.CodeBadRequest, contract.NotRun, "encode the call: %v", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, failed(contract.CodeInternal, contract.NotRun, "make the call: %v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(headerAttemptID, string(id))
	bootBefore := c.lastBoot()
	var trace connTrace
	resp, err := c.http.Do(trace.attach(r))
	if err != nil {
		return nil, c.connectionFailed(ctx, err, trace.runState(err), bootBefore)
	}
	c.recordBoot(responseBoot(resp))
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, statusFailed(resp)
	}
	return resp, nil
}

// postJSON sends a call and decodes its response. On failure it returns a Result with its Problem
// set.
func (c *client) postJSON(ctx context.Context, path string, id contract.AttemptID, body, response any) *Result {
	resp, failure := c.post(ctx, path, id, body)
	if failure != nil {
		return failure
	}
	defer func() { _ = resp.Body.Close() }()
	held := c.memory.Reserve("endpoint " + c.base)
	defer held.Release()
	raw, err := memorybudget.Read(resp.Body, memorybudget.ReadOptions{Length: resp.ContentLength, Limit: maxResponseBytes, Hold: held.Resize})
	if memorybudget.Error.Has(err) {
		return failed(contract.CodeEndpointFailed, contract.MayHaveRun, "answer: %v", err)
	}
	if err != nil {
		return c.connectionFailed(ctx, err, contract.MayHaveRun, responseBoot(resp))
	}
	if mayBeCut(resp, raw) {
		return failed(contract.CodeEndpointFailed, contract.MayHaveRun, "a number without a length may be cut")
	}
	if err := json.Unmarshal(raw, response); err != nil {
		return failed(contract.CodeEndpointFailed, contract.MayHaveRun, "answer: %v", err)
	}
	return nil
}

// mayBeCut reports whether neither the framing of a response nor its content shows that the body is whole: it ends with
// its connection and in a number, whose beginning is a number too.
func mayBeCut(resp *http.Response, body []byte) bool {
	closeDelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	return closeDelimited && len(body) > 0 && body[len(body)-1] >= '0' && body[len(body)-1] <= '9'
}

// connectionFailed returns the Result of a call whose connection failed. boot is the boot id of the
// endpoint process that received the call; empty if it is not known.
func (c *client) connectionFailed(ctx context.Context, err error, run contract.RunState, boot contract.BootID) *Result {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return failed(contract.CodeDeadlineExceeded, run, "the endpoint did not answer in time")
	case context.Canceled:
		return failed(contract.CodeCancelled, run, "the call was cancelled")
	}
	r := failed(contract.CodeEndpointFailed, run, "%v", err)
	r.Crashed = run != contract.NotRun && c.hasCrashed(ctx, boot)
	return r
}

// hasCrashed probes whether the endpoint's process has ended or has been replaced by another one. A
// lost connection alone does not prove a crash, because it may also break between two running
// processes. An endpoint that does not respond to the probe in time does not count as crashed.
func (c *client) hasCrashed(ctx context.Context, boot contract.BootID) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	h, err := c.Probe(ctx)
	if err != nil {
		return ctx.Err() == nil
	}
	return boot != "" && boot != h.Boot
}

// lastBoot returns the last boot id received; empty if there is none.
func (c *client) lastBoot() contract.BootID {
	if boot := c.boot.Load(); boot != nil {
		return *boot
	}
	return ""
}

func (c *client) recordBoot(boot contract.BootID) {
	if boot != "" && boot != c.lastBoot() {
		c.boot.Store(&boot)
	}
}

// responseBoot returns the boot id in the header of a response; empty if there is none.
func responseBoot(resp *http.Response) contract.BootID {
	return contract.BootID(resp.Header.Get(headerBootID))
}
