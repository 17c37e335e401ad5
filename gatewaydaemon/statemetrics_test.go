package gatewaydaemon

import (
	"maps"
	"net/http"
	"testing"

	dto "github.com/prometheus/client_model/go"
)

// metric returns the value of the metric with the given name and labels. The value of a histogram
// is its count.
func (e *entry) metric(t *testing.T, name string, labels map[string]string) (value float64, found bool) {
	t.Helper()
	families, err := e.reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == name && maps.Equal(labelsOf(m), labels) {
				return m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetHistogram().GetSampleCount()), true
			}
		}
	}
	return 0, false
}

func labelsOf(m *dto.Metric) map[string]string {
	labels := make(map[string]string)
	for _, l := range m.GetLabel() {
		labels[l.GetName()] = l.GetValue()
	}
	return labels
}

// The metrics of one entry must show what an on-call engineer looks for first: which requests were
// refused, how full the stage services are, and how old the entry's view of the platform is.
func TestMetricsTellOfRequestsRoomAndBeliefs(t *testing.T) {
	d := newDeployment(t, 1)
	d.startEndpoints(map[string][]string{"shop": {"secret"}})
	d.waitReady()
	e := d.entries[0]
	key := http.Header{"Azurelead-Key": {"secret"}}
	if r := d.send(e, "GET", "/look/x", key); r.status != 200 {
		t.Fatalf("%+v", r)
	}
	staged := http.Header{"Azurelead-Key": {"secret"}, "Azurelead-Chunks": {"1,2"}, "Azurelead-Chunk-Key": {"k"}}
	if r := d.send(e, "POST", "/stream/staged/x", staged); r.status != 200 {
		t.Fatalf("%+v", r)
	}
	if r := d.send(e, "GET", "/look/x", nil); r.status != 401 {
		t.Fatalf("%+v", r)
	}
	cases := []struct {
		name   string
		labels map[string]string
		want   float64
	}{
		{"azurelead_gateway_requests_total", map[string]string{"route": "look", "service": "api", "outcome": "answered"}, 1},
		{"azurelead_gateway_requests_total", map[string]string{"route": "look", "service": "", "outcome": "refused"}, 1},
		{"azurelead_gateway_organisation_requests_total", map[string]string{"organisation": "shop", "outcome": "answered"}, 2},
		{"azurelead_gateway_organisation_requests_total", map[string]string{"organisation": "", "outcome": "refused"}, 1},
		{"azurelead_gateway_stages_seconds", map[string]string{"service": "llm"}, 1},
		{"azurelead_stages_waiting_tasks", map[string]string{"service": "portal"}, 0},
		{"azurelead_stages_endpoints", map[string]string{"service": "portal"}, 1},
		{"azurelead_belief_configuration_version", map[string]string{}, 1},
		{"azurelead_belief_usable_endpoints", map[string]string{}, 5},
		{"azurelead_belief_listed_entries", map[string]string{}, 1},
		{"azurelead_belief_behind_seconds", map[string]string{}, 0},
		{"azurelead_suspect_parts", map[string]string{}, 0},
	}
	for _, c := range cases {
		if got, found := e.metric(t, c.name, c.labels); !found || got != c.want {
			t.Errorf("%s%v: %v, found %t, want %v", c.name, c.labels, got, found, c.want)
		}
	}
	if freeBytes, _ := e.metric(t, "azurelead_stages_room_bytes", map[string]string{"service": "portal"}); freeBytes <= 0 {
		t.Errorf("the free memory for results is %v bytes", freeBytes)
	}
	if age, found := e.metric(t, "azurelead_belief_store_age_seconds", map[string]string{}); !found || age < 0 || age > 1e6 {
		t.Errorf("the store last answered %v s ago", age)
	}
}
