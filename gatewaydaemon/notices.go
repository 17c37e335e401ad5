package gatewaydaemon

import (
	"context"
	"time"
)

// noticeInterval is the minimum time between two rounds of pings that carry notices. A rate limit that
// changes with every response must not cause a round for each.
const noticeInterval = 200 * time.Millisecond

// endpointNoticed requests that the latest notices are sent to the peers.
func (d *daemon) endpointNoticed() {
	d.coordinator.InvalidateEndpoints()
	select {
	case d.notices <- struct{}{}:
	default: // a round is already due
	}
}

// announceNotices pings all peers when there are notices to send, until ctx is done.
func (d *daemon) announceNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.notices:
			d.mesh.PingAll()
		}
		if !sleep(ctx, noticeInterval) {
			return
		}
	}
}
