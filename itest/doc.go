// Package itest contains end-to-end tests that run the daemons and the stand-ins as separate
// processes. Faults are injected with signals, through the control API of the stand-ins and with
// fault-injecting proxies between the processes.
package itest
