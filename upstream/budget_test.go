package upstream

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	dto "github.com/prometheus/client_model/go"

	"github.com/azurelead/azurelead/memorybudget"
)

// serveRaw answers each connection with the same bytes and keeps it open.
func serveRaw(t *testing.T, response string) Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			t.Cleanup(func() { _ = c.Close() })
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write([]byte(response))
		}
	}()
	return Target{ID: "x", Address: l.Addr().String()}
}

// A response took more memory than the budget had, or what it took was not given back.
func TestResponsesCountTowardsBudget(t *testing.T) {
	sized := func(n int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
	}
	for _, c := range []struct {
		name, response string
		total          int64
		served         bool
		refusals       float64
	}{
		{"small response, no budget", sized(800), 0, true, 0},
		{"within the budget", sized(100 << 10), 1 << 20, true, 0},
		{"above the share of an endpoint", sized(100 << 10), 150 << 10, false, 1},
		{"stated length above the limit of the call", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", 1 << 30, false, 0},
		{"head above the share", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 50<<10) + "\r\n\r\n", 20 << 10, false, 1},
		{"short lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 2*maxHeadLines+readBufferSize) + "\r\n", 1 << 30, false, 0},
	} {
		budget, metrics := memorybudget.New(c.total), NewMetrics(nil)
		client := New(Options{Budget: budget, Metrics: metrics})
		for range 3 {
			resp, err := client.Do(t.Context(), serveRaw(t, c.response), Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
			if err == nil {
				_, err = ReadBody(resp, 1<<20)
				release := Detach(resp)
				_ = resp.Body.Close()
				if c.total > 0 && c.served && budget.Held() == 0 {
					t.Errorf("%s: a detached response holds nothing", c.name)
				}
				release()
			}
			if (err == nil) != c.served || err != nil && !Lost.Has(err) {
				t.Errorf("%s: error %v, want served: %v", c.name, err, c.served)
			}
			if budget.Held() != 0 {
				t.Errorf("%s: %d bytes held after the end of the call", c.name, budget.Held())
			}
		}
		var counted dto.Metric
		if err := metrics.BudgetRefusals.Write(&counted); err != nil || counted.Counter.GetValue() != 3*c.refusals {
			t.Errorf("%s: %v refusals counted, error %v, want %v", c.name, counted.Counter.GetValue(), err, 3*c.refusals)
		}
		client.Close()
	}
}
