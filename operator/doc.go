// Package operator implements the commands with which operators read and change the settings of a
// fleet, take data centres out of service and bring them back, and show the state of the fleet.
// These commands need only the platform and no running process of azurelead. An accepted change is
// also announced to agents if links to them are configured. The ask command is a client of an entry.
package operator
