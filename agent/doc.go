// Package agent runs beside one endpoint and is the only way to it: it admits
// no more calls than the endpoint bears, runs an attempt at most once, states
// truthfully what ran, and lets work in progress finish before it stops.
package agent
