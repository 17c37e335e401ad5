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
		t.Errorf("%d values", len(distinct))
	}
	if got := l.Limit("0"); got != "0" {
		t.Errorf("a value that was seen is %q now", got)
	}
}
