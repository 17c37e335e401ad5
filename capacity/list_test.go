package capacity

import (
	"context"
	"net"
	"testing"

	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/standin"
)

// listHeaderBytes are the IP and TCP headers of a reading of an unchanged
// list, its answer and one acknowledgement, which the listener does not see.
const listHeaderBytes = 3 * 52

// listServer serves a list at the target's size.
func listServer(b *testing.B) (*counted, *standin.Platform, *platform.Client) {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l := &counted{Listener: ln}
	p := standin.NewPlatform(standin.PlatformOptions{})
	p.Memory().SetInstances(instances(Target))
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = p.Serve(ctx, l)
	}()
	c, err := platform.NewClient(platform.ClientOptions{URL: "http://" + ln.Addr().String()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		c.Close()
		stop()
		<-served
	})
	return l, p, c
}

// pollList reads the list again and again, after change, and returns bytes and
// processor time for one reading. The processor time is of both ends.
func pollList(b *testing.B, l *counted, read func(), change func(n int)) (bytes, cpu float64) {
	b.Helper()
	read()
	n, before, spent := 0, l.bytes.Load(), int64(0)
	for b.Loop() {
		change(n)
		started := processor()
		read()
		spent += int64(processor() - started)
		n++
	}
	return float64(l.bytes.Load()-before) / float64(n), float64(spent) / float64(n)
}

func readList(b *testing.B, c *platform.Client) func() {
	return func() {
		if _, err := c.Instances(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkListUnchanged reads an unchanged list.
func BenchmarkListUnchanged(b *testing.B) {
	l, _, c := listServer(b)
	bytes, cpu := pollList(b, l, readList(b, c), func(int) {})
	report(b, "B/poll", bytes+listHeaderBytes)
	report(b, "cpu-ns/poll", cpu)
}

// BenchmarkList reads a changed list and reports one instance's share.
func BenchmarkList(b *testing.B) {
	l, p, c := listServer(b)
	list := instances(Target)
	bytes, cpu := pollList(b, l, readList(b, c), func(n int) {
		changed := append([]platform.Instance(nil), list...)
		changed[n%len(list)].State = platform.Leaving
		p.Memory().SetInstances(changed)
	})
	report(b, "B/instance", bytes/float64(len(list)))
	report(b, "cpu-ns/instance", cpu/float64(len(list)))
}

// BenchmarkOwnInstance reads one instance alone.
func BenchmarkOwnInstance(b *testing.B) {
	l, _, c := listServer(b)
	bytes, _ := pollList(b, l, func() {
		if _, err := c.Instance(context.Background(), "agent-0001"); err != nil {
			b.Fatal(err)
		}
	}, func(int) {})
	report(b, "B/poll", bytes+listHeaderBytes)
}
