// Package standin holds small stand-ins for the systems around azurelead: the
// platform's object API and list of instances, model engines, pools of
// encoders, retrievers and rerankers, and application services. Each brings
// about, on demand and by a seed, the failures that the real systems have, and
// counts what reached it. They exist for tests, demos and measurements.
package standin

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("stand-in")
