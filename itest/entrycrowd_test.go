package itest

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// crowdEntries is the number of gateways at which a crowd asks for stages that one gateway dispatches.
	crowdEntries = 6
	// entryClients is the number of clients at each of them, entryRequests that of their requests.
	entryClients  = 250
	entryRequests = 2
	// entryMemoryMB is the memory limit of these gateways. That of the dispatching one is lower.
	entryMemoryMB = 512
)

// Jobs that wait for their stages held what clients at all entries had sent, which only the entries bounded.
func TestCrowdsAtAllEntriesStayWithinMemory(t *testing.T) {
	stages := fleettest.NewServer("stages")
	stages.SetBehaviour(func(int, *http.Request) fleettest.Behaviour { return fleettest.Hang })
	t.Cleanup(stages.Close)
	size := crowdGateway
	size.deployment = newDeployment(t)
	dispatching, front := startGatewayOf(t, size, "stages", stages)
	size.memoryMB, size.maxFiles = entryMemoryMB, 0
	key := strings.Repeat("\xff", promptBytes) // not valid text, so that messages are longer than the head
	var clients sync.WaitGroup
	for range crowdEntries {
		_, entry := startGatewayOf(t, size, "stages", stages)
		for range entryClients {
			clients.Go(func() {
				for range entryRequests {
					sendBriefly(t.Context(), entry, "/stream/staged/x", map[string]string{"Azurelead-Chunks": "1", "Azurelead-Chunk-Key": key})
				}
			})
		}
	}
	clients.Wait()
	if !ordinaryAnswered(front) {
		t.Error("an ordinary request is not answered")
	}
	checkLimits(t, dispatching, crowdGateway)
}
