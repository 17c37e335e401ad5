package itest

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// stopTime is when a process that has not ended counts as hanging, long after its grace period.
const stopTime = time.Minute

// A crowd that takes its time neither keeps a process from reading its settings again nor from ending.
func TestCrowdBesideReloadAndStop(t *testing.T) {
	gateway, front := startGatewayOf(t, crowdGateway, "faulty", fleettest.NewServer("faulty"))
	ctx, cancel := context.WithCancel(t.Context())
	var clients, reached sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(slowAddress)}}
	for i := range crowdSize {
		reached.Add(1)
		clients.Go(func() {
			holdSlowly(ctx, dialer, front, true, func(c net.Conn) {
				switch i % 3 {
				case 0:
					sendSlowly(c, slowHead(i, "/sound/x")+"a: ", "x")
				case 1:
					sendSlowly(c, slowHead(i, "/sound/x")+"Content-Length: 4000000\r\n\r\n", "x")
				default:
					_, _ = io.WriteString(c, slowHead(i, "/stream/x")+"Content-Length: 0\r\n\r\n")
					time.Sleep(slowInterval)
				}
			}, sync.OnceFunc(reached.Done))
		})
	}
	reached.Wait()
	if err := gateway.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if !ordinaryAnswered(front) {
		t.Error("an ordinary request is not answered after a reload")
	}
	if err := gateway.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- gateway.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(stopTime):
		t.Error("the process has not ended")
	}
}
