package itest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// slowClients is the number of connections that clients who take their time hold or try to hold.
	slowClients = 900
	// slowInterval is the pause between two pieces, within which the gateway sees progress, and reopenPause the pause before
	// a connection is opened again.
	slowInterval = 500 * time.Millisecond
	reopenPause  = 200 * time.Millisecond
	// unreadTime is how long a client does not read the answer to a request, which lasts longer.
	unreadTime = 10 * time.Second
	// slowAddress is the address of these clients where they have one of their own.
	slowAddress = "127.0.0.2"
	// sharedAttempts is the number of ordinary requests that share the address of the crowd, one of which is to be answered.
	sharedAttempts = 200
)

// sendSlowly sends a piece at a time until the connection fails.
func sendSlowly(c net.Conn, begin, piece string) {
	_, err := io.WriteString(c, begin)
	for err == nil {
		time.Sleep(slowInterval)
		_, err = io.WriteString(c, piece)
	}
}

// awaitClose sends nothing, reads a byte at a time, and returns once the connection has been closed.
func awaitClose(c net.Conn) {
	var err error
	for err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		time.Sleep(slowInterval)
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails only if the connection is closed
		_, err = c.Read(make([]byte, 1))
	}
}

// slowHead returns the head of a request, without its end.
func slowHead(i int, path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nAzurelead-Attempt-Id: slow-%d\r\nAzurelead-Timeout-Ms: 20000\r\n", path, i)
}

// slowCrowds are the ways in which clients take their time. Each function plays one connection until it fails.
var slowCrowds = []struct {
	name string
	// reopens is set if clients open their connections again; ordinary ones then have another address.
	reopens bool
	play    func(c net.Conn, i int)
}{
	{"heads from another address", true, func(c net.Conn, i int) { sendSlowly(c, slowHead(i, "/sound/x")+"a: ", "x") }},
	{"bodies from another address", true, func(c net.Conn, i int) {
		sendSlowly(c, slowHead(i, "/sound/x")+"Content-Length: 4000000\r\n\r\n", strings.Repeat("x", 16))
	}},
	{"requests without their body from another address", true, func(c net.Conn, i int) {
		_, _ = io.WriteString(c, slowHead(i, "/sound/x")+"Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n")
		awaitClose(c)
	}},
	{"unread streams from another address", true, func(c net.Conn, i int) {
		_, _ = io.WriteString(c, slowHead(i, "/stream/long/x")+"Content-Length: 0\r\n\r\n")
		time.Sleep(unreadTime)
	}},
	{"empty lines from another address", true, func(c net.Conn, _ int) { sendSlowly(c, "", "\r\n") }},
	{"trailers from another address", true, func(c net.Conn, i int) {
		sendSlowly(c, slowHead(i, "/sound/x")+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "a: b\r\n")
	}},
	{"heads from one address", false, func(c net.Conn, i int) { sendSlowly(c, slowHead(i, "/sound/x")+"a: ", "x") }},
	{"bodies from one address", false, func(c net.Conn, i int) {
		sendSlowly(c, slowHead(i, "/sound/x")+"Content-Length: 4000000\r\n\r\n", strings.Repeat("x", 16))
	}},
	{"trailers from one address", false, func(c net.Conn, i int) {
		sendSlowly(c, slowHead(i, "/sound/x")+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "a: b\r\n")
	}},
}

// holdSlowly plays one client until ctx is done. reached is called when its first connection has been tried.
func holdSlowly(ctx context.Context, dialer *net.Dialer, front string, reopens bool, play func(net.Conn), reached func()) {
	for ctx.Err() == nil {
		c, err := dialer.DialContext(ctx, "tcp", front)
		reached()
		if err == nil {
			end := context.AfterFunc(ctx, func() { _ = c.Close() })
			play(c)
			end()
			_ = c.Close()
		}
		if !reopens {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenPause):
		}
	}
}

// endlessStreamers returns as many servers whose streams do not end as the crowd needs.
func endlessStreamers(t *testing.T) (list []*fleettest.Server) {
	for i := range 4 {
		s := fleettest.NewServer(fmt.Sprintf("streamer-%d", i))
		s.SetStream(1<<20, 100*time.Millisecond)
		t.Cleanup(s.Close)
		list = append(list, s)
	}
	return list
}

// Clients that sent or read a byte now and then took all connections from ordinary ones for as long as they went on.
func TestSlowClientsLeaveConnections(t *testing.T) {
	for _, crowd := range slowCrowds {
		t.Run(crowd.name, func(t *testing.T) {
			gateway, front := startGatewayOf(t, crowdGateway, "faulty", endlessStreamers(t)...)
			http.DefaultClient.CloseIdleConnections() // an idle connection gives way to the first ordinary one
			dialer, attempts := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(slowAddress)}}, 1
			if !crowd.reopens {
				dialer, attempts = &net.Dialer{}, sharedAttempts
			}
			ctx, cancel := context.WithCancel(t.Context())
			var clients, reached sync.WaitGroup
			defer clients.Wait()
			defer cancel()
			for i := range slowClients {
				reached.Add(1)
				clients.Go(func() {
					holdSlowly(ctx, dialer, front, crowd.reopens, func(c net.Conn) { crowd.play(c, i) }, sync.OnceFunc(reached.Done))
				})
			}
			reached.Wait()
			time.Sleep(4 * slowInterval) // the crowd opens again what was closed
			answered := false
			for range attempts {
				if answered = ordinaryAnswered(front); answered {
					break
				}
				time.Sleep(slowInterval / 10)
			}
			if !answered {
				t.Errorf("none of %d ordinary requests is answered beside the crowd", attempts)
			}
			checkLimits(t, gateway, crowdGateway)
		})
	}
}
