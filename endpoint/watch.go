package endpoint

import (
	"context"
	"net"
	"net/url"
)

// Watcher is an Endpoint whose crash can be noticed at once, even if no call is running.
type Watcher interface {
	// Watch holds a connection to the endpoint and returns when it is lost or ctx ends. A lost
	// connection is a reason to probe but does not prove a crash: the endpoint may have closed an
	// idle connection.
	Watch(ctx context.Context) error
}

// defaultPorts maps URL schemes to the ports of URLs without a port.
var defaultPorts = map[string]string{"http": "80", "https": "443"}

// Watch implements Watcher.
func (c *client) Watch(ctx context.Context) error {
	u, err := url.Parse(c.base)
	if err != nil {
		return Error.Wrap(err)
	}
	addr := u.Host
	if u.Port() == "" {
		addr = net.JoinHostPort(u.Hostname(), defaultPorts[u.Scheme])
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return Error.Wrap(err)
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	_, err = conn.Read(make([]byte, 1))
	return Error.Wrap(err)
}
