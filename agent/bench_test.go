package agent

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/settings"
)

// BenchmarkCall measures a call through a link and the agent to an endpoint that answers at once.
func BenchmarkCall(b *testing.B) {
	f := &fakeEndpoint{work: func(context.Context, endpoint.Call, func(string)) endpoint.Result { return endpoint.Result{} }}
	f.health.Boot = "endpoint-1"
	n, err := NewNode(NodeOptions{Agent: Options{
		Endpoint: f, Settings: settings.NewFixed(snapshotWithLimits(16, 16, 1, 64)), ReportLag: time.Millisecond,
	}})
	if err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- n.Serve(ctx, l) }()
	c, err := link.Dial(ctx, l.Addr().String(), link.ClientOptions{})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		p := link.RunParams{Attempt: contract.NewAttemptID(), BudgetUS: time.Minute.Microseconds(), Repeatable: true}
		if r, err := c.Run(ctx, p, nil); err != nil || r.Code != "" {
			b.Fatal(r, err)
		}
	}
	_ = c.Close()
	stop()
	if err := <-served; err != nil {
		b.Error(err)
	}
}
