package claim

import (
	"cmp"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/platform"
)

// Options configures a Ledger. Zero members take the defaults below.
type Options struct {
	Store platform.Store
	// Prefix begins the keys of all objects of the ledger.
	Prefix string
	// Shards is used once, by the process that creates the ledger's layout;
	// all others take the number from the store, since two processes that
	// differ in it could grant one key twice.
	Shards int
	// UpdateInterval is the mean time between two updates of a busy shard. After a quiet
	// time a few operations are sent at once, so that a booking and its outcome
	// do not wait; those that follow are gathered.
	UpdateInterval time.Duration
	// OperationTimeout bounds one operation, store calls included.
	OperationTimeout time.Duration
	// SegmentBytes and SegmentAge bound the open segment.
	SegmentBytes int
	SegmentAge   time.Duration
	// Retention is how long a sealed segment is kept: at least as long a key
	// is remembered after its last change.
	Retention time.Duration
	// MaxOutcomeBytes bounds the answer's body that is kept for repeats.
	MaxOutcomeBytes int
	// CallTimeout bounds one store call.
	CallTimeout time.Duration
	// CallsPerSecond and CallBurst are this process's budget of store calls.
	CallsPerSecond float64
	CallBurst      int
	// BreakerFailures is how many failed calls in a row open the breaker;
	// BreakerPause is the mean time before the next probe.
	BreakerFailures      int
	BreakerProbeInterval time.Duration
	Metrics              prometheus.Registerer
	// Hook, when set, is called at each step of an update, for tests that
	// bring about a failure there.
	Hook func(Step)
}

// Step is a point in an update of a shard.
type Step string

// The steps of an update, in order.
const (
	StepBatched     Step = "gathered"     // operations taken, nothing sent
	StepSealed      Step = "sealed"       // segment object written, head not
	StepBeforeWrite Step = "before_write" // head update about to be sent
	StepWritten     Step = "written"      // head update took effect, nobody told
	StepAnswered    Step = "answered"     // operations answered
)

// Steps lists the steps of an update in order.
var Steps = []Step{StepBatched, StepSealed, StepBeforeWrite, StepWritten, StepAnswered}

// Defaults of Options.
const (
	defaultPrefix          = "claims"
	defaultShards          = 16
	defaultWindow          = 80 * time.Millisecond
	defaultWait            = time.Second
	defaultSegmentBytes    = 128 << 10
	defaultSegmentAge      = 5 * time.Minute
	defaultRetention       = time.Hour
	defaultMaxOutcomeBytes = 16 << 10
	defaultCallTimeout     = 300 * time.Millisecond
	defaultCallsPerSecond  = 200
	defaultCallBurst       = 100
	defaultBreakerFailures = 2
	defaultBreakerPause    = time.Second
)

// Bounds of one update. Together with the references to sealed segments they
// keep the head below platform.MaxValueBytes.
const (
	maxGroupBytes   = 384 << 10
	maxRequestBytes = 16 << 10
	maxSealed       = 4096
	maxCommitTries  = 6
	segmentReaders  = 8
	cachedSegments  = 4
	updateBurst     = 4
	retryPause      = 5 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.Prefix = cmp.Or(o.Prefix, defaultPrefix)
	o.Shards = cmp.Or(o.Shards, defaultShards)
	o.UpdateInterval = cmp.Or(o.UpdateInterval, defaultWindow)
	o.OperationTimeout = cmp.Or(o.OperationTimeout, defaultWait)
	o.SegmentBytes = cmp.Or(o.SegmentBytes, defaultSegmentBytes)
	o.SegmentAge = cmp.Or(o.SegmentAge, defaultSegmentAge)
	o.Retention = cmp.Or(o.Retention, defaultRetention)
	o.MaxOutcomeBytes = cmp.Or(o.MaxOutcomeBytes, defaultMaxOutcomeBytes)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	o.CallsPerSecond = cmp.Or(o.CallsPerSecond, defaultCallsPerSecond)
	o.CallBurst = cmp.Or(o.CallBurst, defaultCallBurst)
	o.BreakerFailures = cmp.Or(o.BreakerFailures, defaultBreakerFailures)
	o.BreakerProbeInterval = cmp.Or(o.BreakerProbeInterval, defaultBreakerPause)
	return o
}
