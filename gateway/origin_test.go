package gateway

import (
	"testing"

	"github.com/azurelead/azurelead/catalog"
)

// A stream whose origin is not known is taken up while its service has one version. Another one that is listed before an
// endpoint is chosen must not get it.
func TestStreamOfOnlyVersionIsBoundToIt(t *testing.T) {
	for _, only := range []string{"v1", ""} {
		s := &stream{request: &request{service: "models", route: &catalog.Route{}}}
		if _, resp := s.bindTo(Origin{OnlyVersion: only}); resp != nil || s.filter().Version != only {
			t.Errorf("of the only version %q: bound to %q, response %+v", only, s.filter().Version, resp)
		}
	}
}
