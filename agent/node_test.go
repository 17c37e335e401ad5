package agent

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/settings"
)

// A planned stop under load must answer all running calls, refuse others as not run, and leave
// behind no goroutine (which TestMain checks) and no listener.
func TestPlannedStopLeavesNothingBehind(t *testing.T) {
	f := &fakeEndpoint{work: delayed(50 * time.Millisecond)}
	f.health.Boot = "endpoint-1"
	n, err := NewNode(NodeOptions{Agent: Options{
		Endpoint: f, Settings: settings.NewFixed(snapshotWithLimits(4, 8, 1, 64)), ReportLag: time.Millisecond,
	}})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- n.Serve(ctx, l) }()
	var wg sync.WaitGroup
	ran := make(chan struct{}, 1000)
	for range 2 {
		c, err := link.Dial(ctx, l.Addr().String(), link.ClientOptions{})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for range 8 {
			wg.Go(func() {
				for {
					p := link.RunParams{Attempt: contract.NewAttemptID(), BudgetUS: time.Minute.Microseconds(), Repeatable: true}
					r, err := c.Run(context.Background(), p, nil)
					if err == nil && r.Run == contract.Ran && r.TokenCount == 2 {
						ran <- struct{}{}
						continue
					}
					if err == nil && r.Code != contract.CodeShuttingDown || err != nil && !link.NotSent.Has(err) {
						t.Errorf("call cut by a planned stop: %+v, %v", r, err)
					}
					return
				}
			})
		}
	}
	for range 8 {
		<-ran
	}
	stop()
	wg.Wait()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("listener still accepts connections after the stop")
	}
}
