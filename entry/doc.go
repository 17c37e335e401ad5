// Package entry accepts callers' requests over HTTP and runs their pipelines
// stage by stage on the agents of the fleet. Each caller gets a complete answer
// within its deadline, or a refusal that states correctly whether anything ran.
//
// Policy is kept apart from the network: the types that choose an endpoint,
// split a deadline, limit retries and divide capacity between organisations
// take state and a time, and return values.
package entry
