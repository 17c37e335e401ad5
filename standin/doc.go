// Package standin implements small simulators of the systems around azurelead:
// the platform's object API and instance list, model engines, pools of
// encoders, retrievers and rerankers, and application services. Each of them
// injects the failures of the real system on demand, with seeded probabilities
// where they are random, and counts the calls that it received. They serve
// tests, demos and benchmarks.
package standin

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("stand-in")
