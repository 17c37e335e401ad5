package itest

import (
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// logRequests is the number of requests while the reader of the log has stalled.
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
				sendBriefly(t.Context(), front, "/sound/x", map[string]string{"Azurelead-Attempt-Id": id})
			}
		})
	}
	clients.Wait()
	if !ordinaryAnswered(front) {
		t.Error("an ordinary request is not answered")
	}
	checkLimits(t, gateway, size)
}
