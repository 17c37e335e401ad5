package standin

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/azurelead/azurelead/platform"
)

// countingWriter counts the bytes of response bodies.
type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (w countingWriter) Write(b []byte) (int, error) {
	w.n.Add(int64(len(b)))
	return w.ResponseWriter.Write(b)
}

// TestUnchangedListIsNotSentAgain checks that reading an unchanged instance list
// of the target's size again transfers no body, and that a client sees a change
// of one instance.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	const instances = 1480
	p := NewPlatform(PlatformOptions{})
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.Handler().ServeHTTP(countingWriter{w, &sent}, r)
	}))
	defer server.Close()
	c, err := platform.NewClient(platform.ClientOptions{URL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	list := make([]platform.Instance, instances)
	for i := range list {
		list[i] = platform.Instance{Name: fmt.Sprintf("instance-%d", i), AgentAddress: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), State: platform.Live}
	}
	p.Memory().SetInstances(list)
	read := func() int64 {
		before := sent.Load()
		got, err := c.Instances(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(list, got); diff != "" {
			t.Fatal(diff)
		}
		return sent.Load() - before
	}
	if first := read(); first == 0 {
		t.Fatal("the first read transferred no bytes")
	}
	if resent := read(); resent != 0 {
		t.Errorf("reading the unchanged list transferred %d bytes, want 0", resent)
	}
	list = append([]platform.Instance(nil), list...)
	list[7].State = platform.Leaving
	p.Memory().SetInstances(list)
	read()
	if instance, err := c.Instance(context.Background(), "instance-7"); err != nil || instance.State != platform.Leaving {
		t.Errorf("Instance(instance-7) = %+v, %v, want state leaving", instance, err)
	}
	if _, err := c.Instance(context.Background(), "nobody"); !platform.NotFound.Has(err) {
		t.Errorf("Instance of an unlisted name: error %v, want platform.NotFound", err)
	}
}
