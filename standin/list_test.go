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

// countingWriter counts the bytes of an answer's body.
type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (w countingWriter) Write(b []byte) (int, error) {
	w.n.Add(int64(len(b)))
	return w.ResponseWriter.Write(b)
}

// TestUnchangedListIsNotSentAgain reads the target's list of instances twice,
// changes one instance, and reads it again.
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
		t.Fatal("nothing was sent")
	}
	if again := read(); again != 0 {
		t.Errorf("%d bytes of an unchanged list were sent", again)
	}
	list = append([]platform.Instance(nil), list...)
	list[7].State = platform.Leaving
	p.Memory().SetInstances(list)
	read()
	if one, err := c.Instance(context.Background(), "instance-7"); err != nil || one.State != platform.Leaving {
		t.Errorf("instance-7: %+v, %v", one, err)
	}
	if _, err := c.Instance(context.Background(), "nobody"); !platform.NotFound.Has(err) {
		t.Errorf("an instance that is not listed: %v", err)
	}
}
