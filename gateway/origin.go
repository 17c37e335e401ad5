package gateway

import (
	"context"

	"github.com/azurelead/azurelead/origin"
)

// Origins knows at which service and software version streams began.
type Origins interface {
	// Begin records the origin of a stream before its first event is passed on.
	Begin(attemptID, service, version string)
	// End forgets a stream that the client has received completely.
	End(attemptID string)
	// Find returns the origin of the stream that an attempt began and that a client resumes at a service.
	Find(ctx context.Context, attemptID, service string) Origin
}

// Origin is what is known of where a stream began.
type Origin struct {
	origin.Record
	Known bool
	// OnlyVersion is the one version that the service has had since the stream can have begun, if the origin is not known.
	// It is empty if there is none.
	OnlyVersion string
	// Ambiguous is set if the origin is not known and may be another version than a new stream would get.
	Ambiguous bool
}

// noOrigins knows no streams, and takes every service to have one version.
type noOrigins struct{}

func (noOrigins) Begin(string, string, string) {}

func (noOrigins) End(string) {}

func (noOrigins) Find(context.Context, string, string) Origin { return Origin{} }

// bindToOrigin makes a stream that the client resumes continue at the service and the version that began it.
// It returns a response if it cannot.
func (s *stream) bindToOrigin(ctx context.Context) *response {
	if !s.isClientResumption() {
		return nil
	}
	began := s.gw.opts.Origins.Find(ctx, s.headers.Resumes, s.service)
	verdict, resp := s.bindTo(began)
	s.gw.opts.Metrics.ClientResumptions.WithLabelValues(s.service, verdict).Inc()
	return resp
}

// bindTo binds the stream to where it began. It returns the label of the metric, and a response if the stream
// cannot go on.
func (s *stream) bindTo(began Origin) (verdict string, resp *response) {
	switch {
	case began.Ambiguous:
		return "ambiguous", notRunResponse("the software version that began the stream is not known", busyRetryAfter)
	case !began.Known:
		if began.OnlyVersion != "" {
			// Another version may be listed before an endpoint is chosen.
			s.version.Store(&began.OnlyVersion)
		}
		return "unknown", nil
	}
	if began.Service != s.service {
		if !s.route.MayUse(began.Service) {
			return "unknown", nil // the route has moved, and versions of two services have nothing in common
		}
		s.service = began.Service
	}
	s.version.Store(&began.Version)
	if !s.versionServes() {
		return "gone", notRunResponse(versionGoneReason, s.endpointRetryAfter())
	}
	return "known", nil
}

// isClientResumption reports whether the client has received events of the stream in an earlier attempt.
func (s *stream) isClientResumption() bool { return s.route.Resumable && s.headers.LastEventID > 0 }
