// Package entry takes callers' requests over HTTP, runs their pipelines stage
// by stage on the agents of the fleet, and answers each caller whole or
// refuses truthfully, within the caller's deadline.
//
// Policy is kept apart from the network: the choice of an endpoint, the split
// of a deadline, the retry budget and the shares of organisations are types
// that take state and a time and return values.
package entry
