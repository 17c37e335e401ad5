// Package load measures azurelead under load and faults: it sends requests
// open loop, which means that arrivals never wait for answers, brings about the
// faults of a scenario at their time, and reports the share of requests that
// were answered whole within their deadline, the cost of each stage, and the
// service over time while a data centre leaves and returns.
package load

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("load")
