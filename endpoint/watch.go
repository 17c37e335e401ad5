package endpoint

import (
	"context"
	"net"
	"net/url"
)

// Watcher is an Endpoint whose death shows at once, also while no call runs.
type Watcher interface {
	// Watch holds a connection to the endpoint and returns once it is lost or
	// ctx has ended. A lost connection is a reason to probe, not a proof: the
	// endpoint may have closed it for idleness.
	Watch(ctx context.Context) error
}

// defaultPorts are the ports of URLs that name none.
var defaultPorts = map[string]string{"http": "80", "https": "443"}

// Watch implements Watcher.
func (c *caller) Watch(ctx context.Context) error {
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
