package telemetry

import (
	"fmt"
	"testing"
)

func TestLabelsAreBounded(t *testing.T) {
	var l LabelLimiter
	distinct := map[string]bool{}
	for i := range 3 * maxLabelValues {
		distinct[l.Limit(fmt.Sprint(i))] = true
	}
	if len(distinct) != maxLabelValues+1 || !distinct[OtherLabel] {
		t.Errorf("got %d distinct values, want the maximum and OtherLabel", len(distinct))
	}
	if got := l.Limit("0"); got != "0" {
		t.Errorf("known value: got %q, want 0", got)
	}
}
