package peers

import (
	"time"

	"github.com/azurelead/azurelead/roster"
)

// maxNotices bounds the notices in one ping. Further ones are part of the next.
const maxNotices = 64

// addNotices adds to a ping the notices that the peer has not been sent, and returns the number of the
// last of them.
func (m *Mesh) addNotices(p *Ping, l *peerLink) (last uint64) {
	m.mu.Lock()
	sent, received := l.noticesSent, l.noticesReceived
	m.mu.Unlock()
	p.NoticesAfter = received
	p.Notices, last = m.o.Roster.NoticesSince(time.Now(), sent, maxNotices)
	return last
}

// mergeNotices takes in a peer's notices.
func (m *Mesh) mergeNotices(list []roster.Notice) {
	if len(list) > 0 && m.o.Roster.MergeNotices(time.Now(), list) {
		m.o.OnNotices()
	}
}
