package settings

import (
	"time"
)

// Defaults that apply where no level of the tree says otherwise.
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

// Request resolves the settings of a stage for an organisation. The level
// closest to the stage wins: organisation's stage, organisation's pipeline,
// organisation, pipeline's stage, pipeline, fleet.
func (s *Snapshot) Request(organisation, pipelineName, stage string) RequestSettings {
	out := RequestSettings{
		MaxDeadline:  defaultMaxDeadline,
		RetryPercent: defaultRetryPercent,
		MaxTokens:    defaultMaxTokens,
		MaxBodyBytes: defaultMaxBodyBytes,
	}
	for _, o := range s.requestLevels(organisation, pipelineName, stage) {
		o.applyTo(&out)
	}
	return out
}

func (s *Snapshot) requestLevels(organisation, pipelineName, stage string) []RequestOverrides {
	d := &s.Document
	levels := []RequestOverrides{d.Request}
	p := d.Pipelines[pipelineName]
	levels = append(levels, p.Request)
	for _, st := range p.Stages {
		if st.Name == stage {
			levels = append(levels, st.Request)
		}
	}
	o := d.Organisations[organisation]
	op := o.Pipelines[pipelineName]
	return append(levels, o.Request, op.Request, op.Stages[stage])
}

func (o RequestOverrides) applyTo(r *RequestSettings) {
	if o.MaxDeadline != nil {
		r.MaxDeadline = time.Duration(*o.MaxDeadline)
	}
	override(&r.RetryPercent, o.RetryPercent)
	override(&r.Hedge, o.Hedge)
	override(&r.Priority, o.Priority)
	override(&r.MaxTokens, o.MaxTokens)
	override(&r.MaxBodyBytes, o.MaxBodyBytes)
}

// Endpoint resolves the settings of one endpoint.
func (s *Snapshot) Endpoint(dataCentre, pool, endpoint string) EndpointSettings {
	out := EndpointSettings{
		ColdLimit:   defaultColdLimit,
		MaxLimit:    defaultMaxLimit,
		RampAnswers: defaultRampAnswers,
		QueueLimit:  defaultQueueLimit,
	}
	dc := s.Document.DataCentres[dataCentre]
	p := dc.Pools[pool]
	for _, o := range []EndpointOverrides{s.Document.Endpoint, dc.Endpoint, p.Endpoint, p.Endpoints[endpoint]} {
		o.applyTo(&out)
	}
	return out
}

func (o EndpointOverrides) applyTo(e *EndpointSettings) {
	override(&e.ColdLimit, o.ColdLimit)
	override(&e.MaxLimit, o.MaxLimit)
	override(&e.RampAnswers, o.RampAnswers)
	override(&e.QueueLimit, o.QueueLimit)
	override(&e.ChecksFence, o.ChecksFence)
}

// Out reports whether the data centre is taken out.
func (s *Snapshot) Out(dataCentre string) bool { return s.Document.DataCentres[dataCentre].Out }

func override[T any](dst *T, v *T) {
	if v != nil {
		*dst = *v
	}
}
