package telemetry

import (
	"fmt"
	"log/slog"
)

// RPCLogger passes the JSON-RPC library's protocol errors on at debug level: the
// library would write them to standard error by itself, and who owns the link
// logs its loss.
type RPCLogger struct{ Logger *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (r RPCLogger) Printf(format string, v ...any) {
	r.Logger.Debug("jsonrpc2", "message", fmt.Sprintf(format, v...))
}
