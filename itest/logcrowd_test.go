package itest

import (
	"context"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// logRequests is the number of requests whose log lines nobody reads.
const logRequests = 1200

// Log lines held what clients had sent, and as many as fit the queue for a reader that had stalled took the process's memory.
func TestUnreadLogStaysWithinMemory(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = read.Close(), write.Close() })
	size := crowdGateway
	size.log = write
	gateway, front := startGatewayOf(t, size, "faulty", fleettest.NewServer("faulty"))
	id := strings.Repeat("\xff", promptBytes) // not valid text, so that its log line is longer than the head
	var clients sync.WaitGroup
	for range promptClients {
		clients.Go(func() {
			for range logRequests / promptClients {
				ctx, cancel := context.WithTimeout(t.Context(), promptPatience)
				if req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/sound/x", nil); err == nil {
					req.Host = "shop.example"
					req.Header.Set("Azurelead-Attempt-Id", id)
					if resp, err := http.DefaultClient.Do(req); err == nil {
						_ = resp.Body.Close()
					}
				}
				cancel()
			}
		})
	}
	clients.Wait()
	if !ordinaryAnswered(front) {
		t.Error("an ordinary request is not answered")
	}
	peak := peakMB(t, gateway.Process.Pid)
	t.Logf("peak %d MB", peak)
	if peak > crowdGateway.memoryMB {
		t.Errorf("peak %d MB, limit %d MB", peak, crowdGateway.memoryMB)
	}
}
