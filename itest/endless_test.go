package itest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	platformfleet "github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// gatewayMemoryMB is the memory limit of the smallest instance, in megabytes.
	gatewayMemoryMB = 184
	// endlessCalls is the number of requests whose responses have no end at the same time.
	endlessCalls = 160
	// endlessPause is the pause between two blocks of a response without end that is slow.
	endlessPause = 50 * time.Millisecond
)

// startGateway starts a gateway that serves routes of endpoints in trouble, of sound ones, and of a sound one after
// stages in trouble. It returns the process and the address for clients.
func startGateway(t *testing.T, service string, faulty ...*fleettest.Server) (gateway *exec.Cmd, front string) {
	t.Helper()
	return startGatewayOf(t, gatewaySize{memoryMB: gatewayMemoryMB}, service, faulty...)
}

// gatewaySize is what limits a gateway.
type gatewaySize struct {
	memoryMB int
	// maxFiles is the number of descriptors; 0 states none.
	maxFiles int
	// headerBytes is the configured limit of a request's head, 0 configures no limits.
	headerBytes int
	// cacheTokens is the capacity of the KV cache of the engines that serve /stream/ask/; 0 declares no engines.
	cacheTokens int
	// log gets the log, of all levels; nil discards it.
	log *os.File
	// deployment is what several gateways share; nil for a gateway alone.
	deployment *deployment
	// operators are the addresses for operators; nil for a free one and no metrics.
	operators *operatorAddresses
}

// operatorAddresses are the addresses of a gateway that its operators use.
type operatorAddresses struct{ health, metrics string }

// deployment is a store with gateways, the first of which dispatches.
type deployment struct {
	store *fleettest.Store
	// seed is the address for entries of the first gateway.
	seed     string
	gateways int
}

// store returns the store of the gateway.
func (s gatewaySize) store(t *testing.T) *fleettest.Store {
	if s.deployment == nil {
		return newDeployment(t).store
	}
	return s.deployment.store
}

// newDeployment returns a deployment without gateways.
func newDeployment(t *testing.T) *deployment {
	store := fleettest.NewStore()
	t.Cleanup(store.Close)
	return &deployment{store: store}
}

// join returns the settings of one more gateway.
func (d *deployment) join() string {
	d.gateways++
	if d.seed == "" {
		d.seed = fleettest.FreeAddress()
		return fmt.Sprintf("node=e\nlisten.control=%s\nlimits.cpuShare=0.9\n", d.seed)
	}
	return fmt.Sprintf("node=e-%d\nlisten.control=%s\nseeds=%s\nlimits.cpuShare=0.1\n", d.gateways, fleettest.FreeAddress(), d.seed)
}

// startGatewayOf is startGateway with a size.
func startGatewayOf(t *testing.T, size gatewaySize, service string, faulty ...*fleettest.Server) (gateway *exec.Cmd, front string) {
	t.Helper()
	identity, store := "node=e\nlimits.cpuShare=0.3\n", size.store(t)
	if size.deployment != nil {
		identity = size.deployment.join()
	}
	sound := fleettest.NewServer("sound")
	t.Cleanup(sound.Close)
	store.Put(platformfleet.KindEndpoints, sound.ID, sound.EndpointSpec("sound", "north"))
	for _, s := range faulty {
		store.Put(platformfleet.KindEndpoints, s.ID, s.EndpointSpec(service, "north"))
	}
	patient := map[string]any{"timeoutMs": 20000}
	routes := []map[string]any{
		fleettest.Route("look", "/look/", "idempotent", "faulty", nil),
		fleettest.Route("stream", "/stream/", "streaming", "faulty", nil),
		fleettest.Route("sound", "/sound/", "idempotent", "sound", patient),
		fleettest.Route("long", "/long/", "idempotent", "faulty", patient),
		fleettest.Route("longstream", "/stream/long/", "streaming", "faulty", patient),
		fleettest.Route("soundstream", "/stream/sound/", "streaming", "sound", patient),
		fleettest.Route("staged", "/stream/staged/", "streaming", "sound", map[string]any{
			"stages": []map[string]any{{"service": "stages", "after": []int{}, "bytes": 8000}},
		}),
	}
	services := []map[string]any{fleettest.Service("faulty"), fleettest.Service("sound"), fleettest.StageService("stages")}
	if size.cacheTokens > 0 {
		engine := fleettest.EngineService("engines")
		engine["coldStartS"], engine["coldPerS"] = 0, 0
		engine["engine"].(map[string]any)["kvCapacityTokens"] = size.cacheTokens
		routes, services = append(routes, fleettest.Route("ask", "/stream/ask/", "streaming", "engines", patient)), append(services, engine)
	}
	config := fleettest.Configuration(1, routes, services, nil)
	if size.headerBytes > 0 {
		config["limits"] = map[string]any{"maxHeaderBytes": size.headerBytes, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 20000, "idleTimeoutMs": 15000}
	}
	store.Put(platformfleet.KindConfiguration, platformfleet.ConfigurationName, config)
	operators := size.operators
	if operators == nil {
		operators = &operatorAddresses{health: fleettest.FreeAddress()}
	}
	front, ready := fleettest.FreeAddress(), operators.health
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, fmt.Appendf(nil, "%szone=north\nregion=r\nzones.north=r\nlisten.front=%s\nlisten.readyAddr=%s\n"+
		"limits.memoryMb=%d\nlimits.maxFds=%d\nprovider.address=%s\nbounds.graceS=8\nbounds.retryBudgetRatio=0.2\nbounds.budgetSlack=54\n",
		identity, front, ready, size.memoryMB, size.maxFiles, store.Address()), 0o600); err != nil {
		t.Fatal(err)
	}
	gateway = exec.Command(filepath.Join(binDir, "azurelead-gateway"), "--settings", path, "--log-level", "error")
	if size.log != nil {
		gateway = exec.Command(filepath.Join(binDir, "azurelead-gateway"), "--settings", path, "--log-level", "info")
		gateway.Stdout = size.log
	}
	if operators.metrics != "" {
		gateway.Args = append(gateway.Args, "--metrics", operators.metrics)
	}
	gateway.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := gateway.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = gateway.Process.Kill()
		_ = gateway.Wait()
	})
	for !fleettest.Ready(t.Context(), ready) || call(t, front, "GET", "/sound/ready") != http.StatusOK {
		if t.Context().Err() != nil {
			t.Fatal("the gateway is not ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return gateway, front
}

var lastCall atomic.Int64

// call sends a request and returns the status of its response; 0 if it broke off.
func call(t *testing.T, front, method, path string) int {
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+front+path, nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	req.Host = "shop.example"
	req.Header.Set("Azurelead-Attempt-Id", fmt.Sprintf("call-%d", lastCall.Add(1)))
	req.Header.Set("Azurelead-Timeout-Ms", "20000")
	req.Header.Set("Azurelead-Chunks", "8") // fills a stage call
	req.Header.Set("Azurelead-Chunk-Key", req.Header.Get("Azurelead-Attempt-Id"))
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

// peakMB returns the largest resident memory of a process so far, in megabytes.
func peakMB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	var kB int
	_, after, found := bytes.Cut(status, []byte("VmHWM:"))
	if _, err := fmt.Fscan(bytes.NewReader(after), &kB); !found || err != nil {
		t.Fatalf("no peak in the status of the process: %v", err)
	}
	return kB >> 10
}

// Responses without end that came at the same time were bounded one by one, and took the process together.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	for _, c := range []struct {
		name, path string
		behaviour  fleettest.Behaviour
		// slowAfter is the number of bytes after which they come slowly; 0 if they never do.
		slowAfter int64
	}{
		{"body", "/look/x", fleettest.EndlessBody, 0},
		{"slow body", "/look/x", fleettest.EndlessBody, 3 << 20},
		{"stated length", "/look/x", fleettest.EndlessSized, 0},
		{"stated length, slow", "/look/x", fleettest.EndlessSized, 3 << 20},
		{"head", "/look/x", fleettest.EndlessHeader, 0},
		{"slow head", "/look/x", fleettest.EndlessLines, 200 << 10},
		{"interim heads", "/look/x", fleettest.EndlessInterim, 0},
		{"event", "/stream/x", fleettest.EndlessEvent, 0},
		{"slow event", "/stream/x", fleettest.EndlessEvent, 900 << 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			faulty := fleettest.NewServer("faulty")
			t.Cleanup(faulty.Close)
			var arrived atomic.Int64
			all := make(chan struct{})
			if c.slowAfter > 0 {
				faulty.SetEndlessPace(c.slowAfter, endlessPause)
			}
			faulty.SetBehaviour(func(int, *http.Request) fleettest.Behaviour {
				if arrived.Add(1) == endlessCalls {
					close(all)
				}
				select {
				case <-all:
				case <-time.After(2 * time.Second): // the gateway may have refused some
				}
				return c.behaviour
			})
			gateway, front := startGateway(t, "faulty", faulty)
			callBesideSound(t, gateway, front, c.path)
			t.Logf("%d endless requests reached the endpoint", arrived.Load())
		})
	}
}

// Stage calls without end that came from many endpoints were bounded one by one at the entry that dispatches.
func TestEndlessStageAnswersStayWithinMemory(t *testing.T) {
	faulty := make([]*fleettest.Server, endlessCalls)
	for i := range faulty {
		faulty[i] = fleettest.NewServer(fmt.Sprint("stage-", i))
		t.Cleanup(faulty[i].Close)
		faulty[i].SetEndlessPace(900<<10, endlessPause)
		faulty[i].SetBehaviour(func(int, *http.Request) fleettest.Behaviour { return fleettest.EndlessBody })
	}
	gateway, front := startGateway(t, "stages", faulty...)
	callBesideSound(t, gateway, front, "/stream/staged/x")
	called := 0
	for _, s := range faulty {
		called += min(s.Requests(), 1)
	}
	t.Logf("%d of %d endpoints were called", called, len(faulty))
}

// callBesideSound sends requests that get no answer, with sound ones beside them, and checks the memory that the
// gateway took.
func callBesideSound(t *testing.T, gateway *exec.Cmd, front, endless string) {
	t.Helper()
	var calls sync.WaitGroup
	for range endlessCalls {
		calls.Go(func() {
			if status := call(t, front, "POST", endless); status == http.StatusOK {
				t.Error("a response without end was served")
			}
		})
	}
	done := make(chan struct{})
	go func() {
		calls.Wait()
		close(done)
	}()
	soundCalls := 0
	for ended := false; !ended; soundCalls += 2 {
		select {
		case <-done:
			ended = true
		default:
		}
		checkSound(t, front)
	}
	t.Logf("%d sound requests", soundCalls)
	checkPeak(t, gateway)
}

// checkSound checks that a sound request and a sound stream are answered.
func checkSound(t *testing.T, front string) {
	t.Helper()
	for _, path := range []string{"/sound/x", "/stream/sound/x"} {
		if status := call(t, front, "POST", path); status != http.StatusOK {
			t.Errorf("%s: status %d", path, status)
		}
	}
}

// checkPeak checks the memory that the gateway has taken.
func checkPeak(t *testing.T, gateway *exec.Cmd) {
	t.Helper()
	peak := peakMB(t, gateway.Process.Pid)
	t.Logf("peak %d MB", peak)
	if peak > gatewayMemoryMB {
		t.Errorf("peak %d MB, limit %d MB", peak, gatewayMemoryMB)
	}
}

// Uploads that stalled before their end were bounded one by one, and took the process together.
func TestStalledUploadsStayWithinMemory(t *testing.T) {
	const size, sent = 4 << 20, 3900 << 10
	faulty := fleettest.NewServer("faulty")
	t.Cleanup(faulty.Close)
	gateway, front := startGateway(t, "faulty", faulty)
	var uploads sync.WaitGroup
	body := make([]byte, sent)
	for i := range endlessCalls {
		uploads.Go(func() {
			client, err := net.Dial("tcp", front)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { _ = client.Close() })
			_, err = fmt.Fprintf(client, "POST /sound/x HTTP/1.1\r\nHost: shop.example\r\nAzurelead-Attempt-Id: upload-%d\r\n"+
				"Azurelead-Timeout-Ms: 20000\r\nContent-Length: %d\r\n\r\n", i, size)
			if err == nil {
				_, err = client.Write(body)
			}
			if err != nil {
				t.Error(err)
			}
		})
	}
	uploads.Wait()
	checkSound(t, front)
	checkPeak(t, gateway)
}
