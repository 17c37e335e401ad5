package gatewaydaemon

import (
	"testing"
	"time"
)

// A request that is sent later than three seconds after the stop began would be
// cut at the end of the grace without an excuse: it has to be refused. The
// balancer needs two questions, a second apart, before it sends no more.
func TestStopPlan(t *testing.T) {
	const lastAccepted, twoMisses, slack = 3 * time.Second, 2 * time.Second, 100 * time.Millisecond
	for _, grace := range []time.Duration{0, 8 * time.Second, 5 * time.Second, 2 * time.Second} {
		p := planStop(grace)
		if p.refuse > lastAccepted-slack {
			t.Errorf("grace %v: requests are served until %v", grace, p.refuse)
		}
		if grace >= 5*time.Second && p.refuse < twoMisses+slack {
			t.Errorf("grace %v: requests are refused from %v on, while the balancer still sends them", grace, p.refuse)
		}
		if grace > 0 && p.end > grace-slack {
			t.Errorf("grace %v: the end is due after %v", grace, p.end)
		}
		if p.end < p.refuse {
			t.Errorf("grace %v: steps out of order: %+v", grace, p)
		}
	}
}
