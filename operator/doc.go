// Package operator holds the commands by which operators read and change the
// settings of a fleet, take data centres out and bring them back, and see the
// state of both. The commands talk to the platform only: they need no running
// process of azurelead.
package operator
