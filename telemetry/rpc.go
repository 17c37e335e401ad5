package telemetry

import (
	"fmt"
	"log/slog"
)

// RPCLogger logs the protocol errors of the JSON-RPC library at debug level. By default the library
// writes them to standard error. The owner of a link logs its loss, so debug level is enough here.
type RPCLogger struct{ Logger *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (r RPCLogger) Printf(format string, v ...any) {
	r.Logger.Debug("jsonrpc2", "message", fmt.Sprintf(format, v...))
}
