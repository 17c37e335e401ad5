package gatewaydaemon

import (
	"testing"
	"time"
)

// Requests sent more than three seconds after the stop began could be cut at the end of the grace
// period, and such a cut is a fault, so they must be refused. The balancer needs two failed probes,
// one second apart, before it stops sending requests.
func TestStopPlan(t *testing.T) {
	const lastAccepted, twoFailedProbes, slack = 3 * time.Second, 2 * time.Second, 100 * time.Millisecond
	for _, grace := range []time.Duration{0, 8 * time.Second, 5 * time.Second, 2 * time.Second} {
		p := planStop(grace)
		if p.reject > lastAccepted-slack {
			t.Errorf("grace %v: requests are served until %v", grace, p.reject)
		}
		if grace >= 5*time.Second && p.reject < twoFailedProbes+slack {
			t.Errorf("grace %v: requests are refused from %v on, while the balancer still sends them", grace, p.reject)
		}
		if p.answer < min(grace*5/6, p.cutoff) {
			t.Errorf("grace %v: requests are ended after %v, before its last sixth", grace, p.answer)
		}
		if left := p.answer - p.refuse; left < (p.answer-p.reject)/2 {
			t.Errorf("grace %v: requests may be passed on %v before they are cut", grace, left)
		}
		if grace > 0 && p.cutoff > grace-slack {
			t.Errorf("grace %v: requests are cut only after %v", grace, p.cutoff)
		}
		if p.refuse < p.reject || p.answer < p.refuse || p.cutoff < p.answer {
			t.Errorf("grace %v: steps out of order: %+v", grace, p)
		}
	}
}
