package endpoint

import "github.com/azurelead/azurelead/pipeline"

// New returns the driver for endpoints that run stages of the given kind.
func New(kind pipeline.Kind, o Options) (Endpoint, error) {
	switch kind {
	case pipeline.Generate:
		return NewEngine(o)
	case pipeline.Service:
		return NewService(o)
	}
	return NewPool(kind, o)
}
