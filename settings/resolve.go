package settings

import (
	"strings"
	"time"
)

// Defaults of values that no level of the tree sets.
const (
	defaultMaxDeadline  = 30 * time.Second
	defaultRetryPercent = 10
	defaultMaxTokens    = 256
	defaultMaxBodyBytes = 1 << 20
	defaultColdLimit    = 1
	defaultMaxLimit     = 32
	defaultRampAnswers  = 4
	defaultQueueLimit   = 16
)

// defaultRequest and defaultEndpoint are the level above the fleet. They set every member.
var (
	defaultRequest = RequestOverrides{
		MaxDeadline:  new(Duration(defaultMaxDeadline)),
		RetryPercent: new(defaultRetryPercent),
		Hedge:        new(false),
		Priority:     new(0),
		MaxTokens:    new(defaultMaxTokens),
		MaxBodyBytes: new(defaultMaxBodyBytes),
	}
	defaultEndpoint = EndpointOverrides{
		ColdLimit:   new(defaultColdLimit),
		MaxLimit:    new(defaultMaxLimit),
		RampAnswers: new(defaultRampAnswers),
		QueueLimit:  new(defaultQueueLimit),
		ChecksFence: new(false),
	}
)

// Level is a level of the tree that may set a value, written as the path of the node, such as
// "organisations.acme". The levels above the named nodes are "fleet" and "default".
type Level string

// Levels above the named nodes.
const (
	DefaultLevel Level = "default"
	FleetLevel   Level = "fleet"
)

// Value is a resolved value and the level that set it.
type Value struct {
	Name  string `json:"name"`
	Value any    `json:"value"`
	Level Level  `json:"level"`
}

// trace records the level that set each value. A nil trace records nothing, which saves requests
// the cost of recording.
type trace struct{ values []Value }

func (t *trace) record(name string, value any, level Level) {
	if t == nil {
		return
	}
	for i := range t.values {
		if t.values[i].Name == name {
			t.values[i] = Value{Name: name, Value: value, Level: level}
			return
		}
	}
	t.values = append(t.values, Value{Name: name, Value: value, Level: level})
}

// ResolveRequest resolves the settings of a stage for an organisation. The most specific level
// wins, in this order: the organisation's stage, the organisation's pipeline, the organisation,
// the pipeline's stage, the pipeline, the fleet.
func (s *Snapshot) ResolveRequest(organisation, pipelineName, stage string) RequestSettings {
	return s.resolveRequest(organisation, pipelineName, stage, nil)
}

// ExplainRequest returns the values that ResolveRequest resolves, each with its level.
func (s *Snapshot) ExplainRequest(organisation, pipelineName, stage string) []Value {
	t := &trace{}
	s.resolveRequest(organisation, pipelineName, stage, t)
	return t.values
}

func (s *Snapshot) resolveRequest(organisation, pipelineName, stage string, t *trace) RequestSettings {
	d := &s.Document
	p := d.Pipelines[pipelineName]
	o := d.Organisations[organisation]
	op := o.Pipelines[pipelineName]
	var out RequestSettings
	defaultRequest.applyTo(&out, t, func() Level { return DefaultLevel })
	d.Request.applyTo(&out, t, func() Level { return FleetLevel })
	p.Request.applyTo(&out, t, pathLevel("pipelines", pipelineName))
	if st, ok := p.Stage(stage); ok {
		st.Request.applyTo(&out, t, pathLevel("pipelines", pipelineName, "stages", stage))
	}
	o.Request.applyTo(&out, t, pathLevel("organisations", organisation))
	op.Request.applyTo(&out, t, pathLevel("organisations", organisation, "pipelines", pipelineName))
	op.Stages[stage].applyTo(&out, t, pathLevel("organisations", organisation, "pipelines", pipelineName, "stages", stage))
	return out
}

// Stage returns the stage with the given name.
func (p Pipeline) Stage(name string) (Stage, bool) {
	for _, st := range p.Stages {
		if st.Name == name {
			return st, true
		}
	}
	return Stage{}, false
}

func (o RequestOverrides) applyTo(r *RequestSettings, t *trace, level func() Level) {
	if o.MaxDeadline != nil {
		r.MaxDeadline = time.Duration(*o.MaxDeadline)
		recordAt(t, "max_deadline", *o.MaxDeadline, level)
	}
	applyOverride(&r.RetryPercent, o.RetryPercent, t, "retry_percent", level)
	applyOverride(&r.Hedge, o.Hedge, t, "hedge", level)
	applyOverride(&r.Priority, o.Priority, t, "priority", level)
	applyOverride(&r.MaxTokens, o.MaxTokens, t, "max_tokens", level)
	applyOverride(&r.MaxBodyBytes, o.MaxBodyBytes, t, "max_body_bytes", level)
}

// ResolveEndpoint resolves the settings of an endpoint. The most specific level wins, in this
// order: the endpoint, the pool, the data centre, the fleet.
func (s *Snapshot) ResolveEndpoint(dataCentre, pool, endpoint string) EndpointSettings {
	return s.resolveEndpoint(dataCentre, pool, endpoint, nil)
}

// ExplainEndpoint returns the values that ResolveEndpoint resolves, each with its level.
func (s *Snapshot) ExplainEndpoint(dataCentre, pool, endpoint string) []Value {
	t := &trace{}
	s.resolveEndpoint(dataCentre, pool, endpoint, t)
	return t.values
}

func (s *Snapshot) resolveEndpoint(dataCentre, pool, endpoint string, t *trace) EndpointSettings {
	dc := s.Document.DataCentres[dataCentre]
	p := dc.Pools[pool]
	var out EndpointSettings
	defaultEndpoint.applyTo(&out, t, func() Level { return DefaultLevel })
	s.Document.Endpoint.applyTo(&out, t, func() Level { return FleetLevel })
	dc.Endpoint.applyTo(&out, t, pathLevel("data_centres", dataCentre))
	p.Endpoint.applyTo(&out, t, pathLevel("data_centres", dataCentre, "pools", pool))
	p.Endpoints[endpoint].applyTo(&out, t, pathLevel("data_centres", dataCentre, "pools", pool, "endpoints", endpoint))
	return out
}

func (o EndpointOverrides) applyTo(e *EndpointSettings, t *trace, level func() Level) {
	applyOverride(&e.ColdLimit, o.ColdLimit, t, "cold_limit", level)
	applyOverride(&e.MaxLimit, o.MaxLimit, t, "max_limit", level)
	applyOverride(&e.RampAnswers, o.RampAnswers, t, "ramp_answers", level)
	applyOverride(&e.QueueLimit, o.QueueLimit, t, "queue_limit", level)
	applyOverride(&e.ChecksFence, o.ChecksFence, t, "checks_fence", level)
}

// OutOfService reports whether the data centre is out of service.
func (s *Snapshot) OutOfService(dataCentre string) bool {
	return s.Document.DataCentres[dataCentre].Out
}

func applyOverride[T any](dst *T, v *T, t *trace, name string, level func() Level) {
	if v == nil {
		return
	}
	*dst = *v
	recordAt(t, name, *v, level)
}

func recordAt(t *trace, name string, value any, level func() Level) {
	if t != nil {
		t.record(name, value, level())
	}
}

func pathLevel(keys ...string) func() Level {
	return func() Level { return Level(joinPath(keys)) }
}

// joinPath returns the path of keys separated by dots, the form used in faults and conflicts.
func joinPath(keys []string) string { return strings.Join(keys, ".") }
