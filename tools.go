//go:build tools

package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/google/uuid"
	_ "github.com/gorilla/mux"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/segmentio/encoding/json"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/urfave/cli/v3"
	_ "github.com/zeebo/errs"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/goleak"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
