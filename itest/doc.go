// Package itest holds scenarios of real processes: the daemons and stand-ins
// run as separate processes, faults come from signals, from the stand-ins'
// control pages and from a fault-injecting proxy between any two of them.
package itest
