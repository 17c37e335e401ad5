package itest

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// Connections to the addresses for health and metrics were not bounded, and left no descriptors for clients.
func TestCrowdsAtOperatorsAddressesLeaveDescriptors(t *testing.T) {
	for _, name := range []string{"health", "metrics"} {
		t.Run(name, func(t *testing.T) {
			addresses := operatorAddresses{health: fleettest.FreeAddress(), metrics: fleettest.FreeAddress()}
			size := crowdGateway
			size.operators = &addresses
			gateway, front := startGatewayOf(t, size, "faulty", fleettest.NewServer("faulty"))
			address, path := addresses.health, "/ready"
			if name == "metrics" {
				address, path = addresses.metrics, "/metrics"
			}
			var clients sync.WaitGroup
			for range connectionCrowdSize {
				clients.Go(func() {
					c, err := net.DialTimeout("tcp", address, 3*time.Second)
					if err == nil {
						t.Cleanup(func() { _ = c.Close() })
						_, _ = io.WriteString(c, "GET /")
					}
				})
			}
			clients.Wait()
			if !ordinaryAnswered(front) {
				t.Error("an ordinary request is not answered")
			}
			http.DefaultClient.CloseIdleConnections()
			for {
				resp, err := http.Get("http://" + address + path)
				if err == nil {
					_ = resp.Body.Close()
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			// The connections of the crowd were accepted before.
			files := openFiles(t, gateway.Process.Pid)
			t.Logf("%d open files", files)
			if files > crowdGateway.maxFiles {
				t.Errorf("%d open files, limit %d", files, crowdGateway.maxFiles)
			}
		})
	}
}
