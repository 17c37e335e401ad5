// Package load measures azurelead under load and faults. It sends requests in an open loop, in
// which arrivals never wait for answers, injects the faults of a scenario at their scheduled times,
// and reports the share of requests that were answered completely within their deadline, the cost
// of each stage, and the service over time while a data centre leaves and returns.
package load

import "github.com/zeebo/errs"

// Error is the class of errors that this package returns.
var Error = errs.Class("load")
