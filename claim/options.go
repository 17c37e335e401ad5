package claim

import (
	"cmp"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/platform"
)

// Options configures a Ledger. Zero fields take the defaults below.
type Options struct {
	Store platform.Store
	// Prefix is the common prefix of the keys of the ledger's objects.
	Prefix string
	// Shards is the number of shards in a new layout. Only the process that creates
	// the ledger's layout uses it. All others read the number from the store, since
	// processes with different numbers could grant the same key twice.
	Shards int
	// UpdateInterval is the mean time between two updates of a busy shard. After an
	// idle period the first few updates are sent immediately, so that a booking and
	// its outcome are not delayed. Later operations are batched.
	UpdateInterval time.Duration
	// OperationTimeout bounds one operation, including its store calls.
	OperationTimeout time.Duration
	// SegmentBytes and SegmentAge are the size and age at which the open segment is sealed.
	SegmentBytes int
	SegmentAge   time.Duration
	// Retention is how long a sealed segment is kept, and so the minimum time for
	// which a key is remembered after its last change.
	Retention time.Duration
	// MaxOutcomeBytes is the largest response body that is stored for replay.
	MaxOutcomeBytes int
	// CallTimeout bounds one store call.
	CallTimeout time.Duration
	// CallsPerSecond and CallBurst limit the rate of this process's store calls.
	CallsPerSecond float64
	CallBurst      int
	// BreakerFailures is the number of consecutive failed calls that open the circuit
	// breaker. BreakerProbeInterval is the mean time until the next probe.
	BreakerFailures      int
	BreakerProbeInterval time.Duration
	Metrics              prometheus.Registerer
	// Hook, if set, is called at each step of an update, so that tests can inject
	// a failure there.
	Hook func(Step)
}

// Step is a point in an update of a shard.
type Step string

// The steps of an update, in order.
const (
	StepBatched     Step = "gathered"     // the operations are taken from the queue, nothing is sent
	StepSealed      Step = "sealed"       // the segment object is written, the head is not
	StepBeforeWrite Step = "before_write" // the head update is about to be sent
	StepWritten     Step = "written"      // the head update took effect, no operation is answered
	StepAnswered    Step = "answered"     // the operations are answered
)

// Steps lists the steps of an update in order.
var Steps = []Step{StepBatched, StepSealed, StepBeforeWrite, StepWritten, StepAnswered}

// Defaults of Options.
const (
	defaultPrefix               = "claims"
	defaultShards               = 16
	defaultUpdateInterval       = 80 * time.Millisecond
	defaultOperationTimeout     = time.Second
	defaultSegmentBytes         = 128 << 10
	defaultSegmentAge           = 5 * time.Minute
	defaultRetention            = time.Hour
	defaultMaxOutcomeBytes      = 16 << 10
	defaultCallTimeout          = 300 * time.Millisecond
	defaultCallsPerSecond       = 200
	defaultCallBurst            = 100
	defaultBreakerFailures      = 2
	defaultBreakerProbeInterval = time.Second
)

// Bounds of one update. Together with the references to sealed segments they keep
// the size of the head below platform.MaxValueBytes.
const (
	maxBatchBytes      = 384 << 10
	maxRequestBytes    = 16 << 10
	maxSealedSegments  = 4096
	maxCommitTries     = 6
	maxConcurrentReads = 8
	segmentCacheSize   = 4
	updateBurst        = 4
	baseRetryDelay     = 5 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.Prefix = cmp.Or(o.Prefix, defaultPrefix)
	o.Shards = cmp.Or(o.Shards, defaultShards)
	o.UpdateInterval = cmp.Or(o.UpdateInterval, defaultUpdateInterval)
	o.OperationTimeout = cmp.Or(o.OperationTimeout, defaultOperationTimeout)
	o.SegmentBytes = cmp.Or(o.SegmentBytes, defaultSegmentBytes)
	o.SegmentAge = cmp.Or(o.SegmentAge, defaultSegmentAge)
	o.Retention = cmp.Or(o.Retention, defaultRetention)
	o.MaxOutcomeBytes = cmp.Or(o.MaxOutcomeBytes, defaultMaxOutcomeBytes)
	o.CallTimeout = cmp.Or(o.CallTimeout, defaultCallTimeout)
	o.CallsPerSecond = cmp.Or(o.CallsPerSecond, defaultCallsPerSecond)
	o.CallBurst = cmp.Or(o.CallBurst, defaultCallBurst)
	o.BreakerFailures = cmp.Or(o.BreakerFailures, defaultBreakerFailures)
	o.BreakerProbeInterval = cmp.Or(o.BreakerProbeInterval, defaultBreakerProbeInterval)
	return o
}
