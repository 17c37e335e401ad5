// Package link carries calls between entries and agents over TCP with
// JSON-RPC 2.0. Each link opens with a handshake that names the boot of both
// sides, so that no message of an earlier life is taken for a current one.
package link
