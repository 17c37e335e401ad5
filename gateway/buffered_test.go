package gateway

import (
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
)

// A hedge that is refused delayed the next one by the time for which an attempt is alone, while the first endpoint hung.
func TestRefusedHedgeIsFollowedAtOnce(t *testing.T) {
	for _, result := range []attemptResult{resultRejected, resultNotSent} {
		b := &buffered{
			request: &request{route: &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 3}}, ctx: t.Context(),
			ended: make(chan bufferedAttempt, 1), inFlight: 2, hedgeAt: time.Now().Add(time.Hour),
		}
		b.ended <- bufferedAttempt{attempt: &attempt{result: result}}
		if _, ended := b.await(); !ended || time.Until(b.hedgeAt) > 0 {
			t.Errorf("%s: the next endpoint is tried after %v", resultNames[result], time.Until(b.hedgeAt))
		}
	}
}
