package gateway

import (
	"context"
	"errors"
	"testing"
	"time"
)

// An event that comes when the time for the first event has just ended must end the stream's context, or the end counts
// as a failure of the engine.
func TestEventAtEndOfPatienceEndsContext(t *testing.T) {
	s, _ := lateStream()
	ctx := s.boundFirstEvent(t.Context())
	s.patience.Stop()
	fired := make(chan struct{})
	s.patience = time.AfterFunc(0, func() { close(fired) }) // has not ended the context yet
	<-fired
	if s.startResponse(&attempt{}) || !errors.Is(context.Cause(ctx), errFirstEventLate) {
		t.Errorf("the cause of the context's end is %v, want %v", context.Cause(ctx), errFirstEventLate)
	}
}
