package itest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// promptGateway is what limits the gateway that clients with unusual prompts meet.
var promptGateway = gatewaySize{memoryMB: 96, maxFiles: 700, headerBytes: crowdHeaderBytes, cacheTokens: 100_000}

const (
	// promptClients is the number of requests at a time, promptPatience the time that their clients wait.
	promptClients  = 16
	promptPatience = 2 * time.Second
	// promptBytes is the length of the header fields that fill a head.
	promptBytes = 56 << 10
)

// partsOf returns a list of parts of a prompt, each of so many tokens, that fills a head. No two lists have a part in common.
func partsOf(i, tokens int) (list string, parts int) {
	var b strings.Builder
	for ; b.Len() < promptBytes; parts++ {
		_, _ = fmt.Fprintf(&b, "%x:%d,", i<<16|parts, tokens) // a strings.Builder returns no error
	}
	return strings.TrimSuffix(b.String(), ","), parts
}

// promptCrowds are unusual prompts. header returns the header fields of the i-th request.
var promptCrowds = []struct {
	name     string
	requests int
	header   func(i int) map[string]string
}{
	{"parts of no tokens", 200, func(i int) map[string]string {
		list, parts := partsOf(i, 0)
		return map[string]string{"Azurelead-Prompt-Prefix": list, "Azurelead-Token-Usage": fmt.Sprintf("%d,20", parts)}
	}},
	{"parts of one token", 100, func(i int) map[string]string {
		list, parts := partsOf(i, 1)
		return map[string]string{"Azurelead-Prompt-Prefix": list, "Azurelead-Token-Usage": fmt.Sprintf("%d,20", parts)}
	}},
	{"prompts longer than any cache", 2000, func(i int) map[string]string {
		return map[string]string{
			"Azurelead-Prompt-Prefix": fmt.Sprintf("a1:6300,%s%x:4000000", strings.Repeat("e", promptBytes), i), "Azurelead-Token-Usage": "4000000,20",
		}
	}},
	{"prompts that take long to read", 2000, func(i int) map[string]string {
		return map[string]string{
			"Azurelead-Prompt-Prefix": fmt.Sprintf("a1:6300,%s%x:93000", strings.Repeat("e", promptBytes), i), "Azurelead-Token-Usage": "99999,20",
			"Azurelead-Timeout-Ms": "500",
		}
	}},
}

// newAttemptID returns the id of an attempt.
func newAttemptID() string { return fmt.Sprintf("attempt-%d", lastCall.Add(1)) }

// checkLimits checks that a gateway lives, and what it has taken of its memory and descriptors.
func checkLimits(t *testing.T, gateway *exec.Cmd, size gatewaySize) {
	t.Helper()
	peak, files := peakMB(t, gateway.Process.Pid), openFiles(t, gateway.Process.Pid)
	t.Logf("peak %d MB, %d open files", peak, files)
	if files > size.maxFiles {
		t.Errorf("%d open files, limit %d", files, size.maxFiles)
	}
	if peak > size.memoryMB {
		t.Errorf("peak %d MB, limit %d MB", peak, size.memoryMB)
	}
}

// sendBriefly sends a request whose client waits for promptPatience and does not read the response.
func sendBriefly(ctx context.Context, front, path string, header map[string]string) {
	ctx, cancel := context.WithTimeout(ctx, promptPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, nil)
	if err != nil {
		return
	}
	req.Host = "shop.example"
	fleettest.SetClientHeaders(req.Header, newAttemptID(), "", promptPatience)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// ask sends a request for a stream of an engine, and returns the status of its response; 0 if it broke off.
func ask(ctx context.Context, front string, header map[string]string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/stream/ask/x", nil)
	if err != nil {
		return 0
	}
	req.Host = "shop.example"
	fleettest.SetClientHeaders(req.Header, newAttemptID(), "", 20*time.Second)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Prompts that clients made of very many parts, or longer than any engine can hold, stopped the dispatcher and took its memory.
func TestPromptCrowdsStayWithinLimits(t *testing.T) {
	for _, crowd := range promptCrowds {
		t.Run(crowd.name, func(t *testing.T) {
			engine := fleettest.NewServer("engine")
			t.Cleanup(engine.Close)
			gateway, front := startGatewayOf(t, promptGateway, "engines", engine)
			var clients sync.WaitGroup
			for c := range promptClients {
				clients.Go(func() {
					for i := c; i < crowd.requests; i += promptClients {
						ctx, cancel := context.WithTimeout(t.Context(), promptPatience)
						ask(ctx, front, crowd.header(i))
						cancel()
					}
				})
			}
			clients.Wait()
			if status := ask(t.Context(), front, nil); status != http.StatusOK {
				t.Errorf("an ordinary request is answered with status %d", status)
			}
			checkLimits(t, gateway, promptGateway)
		})
	}
}

// A single prompt of very many parts is legal, and one that no engine can hold is answered for good.
func TestSingleUnusualPrompt(t *testing.T) {
	engine := fleettest.NewServer("engine")
	t.Cleanup(engine.Close)
	_, front := startGatewayOf(t, promptGateway, "engines", engine)
	for _, tokens := range []int{0, 1} {
		list, parts := partsOf(1, tokens)
		header := map[string]string{"Azurelead-Prompt-Prefix": list, "Azurelead-Token-Usage": fmt.Sprintf("%d,20", parts)}
		if status := ask(t.Context(), front, header); status != http.StatusOK {
			t.Errorf("%d parts of %d tokens: status %d", parts, tokens, status)
		}
	}
	if status := ask(t.Context(), front, map[string]string{"Azurelead-Token-Usage": "100001,20"}); status != http.StatusRequestEntityTooLarge {
		t.Errorf("a prompt longer than the cache: status %d", status)
	}
}
