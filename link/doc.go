// Package link carries calls between entries and agents over TCP with JSON-RPC 2.0. Each link
// starts with a handshake in which both sides state their boot id, so that a message meant for an
// earlier boot is never accepted as current.
package link
