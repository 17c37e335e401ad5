// Package agent implements the agent, the process beside an endpoint through which all calls to the
// endpoint pass. It admits no more calls than the endpoint can take, runs each attempt at most
// once, reports truthfully whether an attempt ran, and lets running calls finish before it stops.
package agent
