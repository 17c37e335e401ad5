// Package rollout decides on the roll-outs of new software versions: which share of a service's requests the new
// version gets, whether its answers show that it is bad, and when the service has moved. It performs no I/O; every
// method that depends on the time receives it as an argument.
//
// The load that it answers is a service with full traffic of which a version that fails, or is several times slower,
// may get no more than a small share, summed over entries that do not know each other's counts.
package rollout

import (
	"time"
)

// State is the state of a roll-out.
type State string

// The states of a roll-out.
const (
	// Serving: the new version is being tried.
	Serving State = "serving"
	// Succeeded: the service has moved to the new version, and its earlier servers may stop.
	Succeeded State = "succeeded"
	// RolledBack: the new version gets no further requests.
	RolledBack State = "rolled_back"
)

// Final reports whether a roll-out in the state has ended.
func (s State) Final() bool { return s == Succeeded || s == RolledBack }

// Order is an operator's order to move a service to the servers of a version.
type Order struct {
	Service string
	// Target is the new software version. All others are earlier versions.
	Target string
	// Duration is the time within which the roll-out is to be decided.
	Duration time.Duration
}

// Exposure bounds the requests that a new version may get before its roll-out is decided, from all entries together:
// Share of the requests of its service, and Slack more.
type Exposure struct {
	Share float64
	Slack float64
}

// Enabled reports whether roll-outs are bounded, and decided, at all.
func (e Exposure) Enabled() bool { return e.Share > 0 }

const (
	// trialFraction is the fraction of the allowed share that a trial uses where the sum over all entries is not known.
	trialFraction = 0.7
	// pulseShare is the share of a trial while it sends requests, which it does in a part of each pulsePeriod. So many of
	// the new servers share them that each bears about the load that it will have after the move: some faults show under
	// load only.
	pulseShare  = 0.3
	pulsePeriod = 2 * time.Second
	// WarmUpTime is how long servers are slow after their start. The times of their answers show nothing until then, so that
	// at most maxWarmUpFraction of an order's time, a trial sends no more than the share that no sum can exceed.
	WarmUpTime        = 3 * time.Second
	maxWarmUpFraction = 1.0 / 3
	// moveReserve is the time for which all requests may go to a version that is bad but was not found to be, at the end
	// of its order. What is allowed beyond that is spent on the trial.
	moveReserve = 600 * time.Millisecond
	// minTrialAge is the age of an order from which its requests show how many there will be.
	minTrialAge = time.Second
	// usableFraction is the fraction of the allowed requests that is used at all: entries follow directions late, and the
	// number of requests until the end is an estimate.
	usableFraction = 0.9
	// The move begins at moveFraction of an order's duration with pulseShare of the requests. In its second part, which
	// takes drainFraction of the duration and at most maxDrainTime, all requests go to the new version, so that those at
	// the earlier servers end.
	moveFraction  = 2.0 / 3
	drainFraction = 1.0 / 6
	maxDrainTime  = 4 * time.Second
	// writeFraction is the fraction of an order's duration, and maxWriteTime the longest time, that is left for writing the
	// decision before its end.
	writeFraction = 1.0 / 24
	maxWriteTime  = time.Second
	// minCanaries is the least number of servers that a trial uses, if there are as many: with fewer, one slow machine
	// would look like a slow version.
	minCanaries = 3
)

// moveStart returns the age of an order at which a service starts to move to an accepted version.
func (o Order) moveStart() time.Duration { return time.Duration(moveFraction * float64(o.Duration)) }

// drainStart returns the age of an order from which all requests go to an accepted version.
func (o Order) drainStart() time.Duration {
	return o.moveEnd() - min(time.Duration(drainFraction*float64(o.Duration)), maxDrainTime)
}

// moveEnd returns the age of an order at which the decision is written, whether or not the earlier servers are idle.
func (o Order) moveEnd() time.Duration {
	return o.Duration - min(time.Duration(writeFraction*float64(o.Duration)), maxWriteTime)
}

// Sent counts the requests to a service since an order.
type Sent struct {
	New, All int64
}

// budget is what a bad version may still get until the end of an order.
type budget struct {
	// perSecond is the rate of requests to the service; 0 if it is not known yet.
	perSecond float64
	// allowed is the number of requests that the new version may get from the order to its end, left what remains of it.
	allowed, left float64
}

func (o Order) budget(age time.Duration, e Exposure, sent Sent) budget {
	if age < minTrialAge {
		return budget{}
	}
	b := budget{perSecond: float64(sent.All) / age.Seconds()}
	b.allowed = usableFraction * (e.Share*b.perSecond*o.Duration.Seconds() + e.Slack)
	b.left = b.allowed - float64(sent.New)
	return b
}

// trialShare returns the share of a trial at an age of its order. It spends what is allowed until the end, as more answers
// show faults sooner than a small share does.
func (o Order) trialShare(age time.Duration, e Exposure, b budget) float64 {
	if b.perSecond == 0 || age < min(WarmUpTime, time.Duration(maxWarmUpFraction*float64(o.Duration))) {
		return e.TrialShare()
	}
	spendable := b.left - moveReserve.Seconds()*b.perSecond
	remaining := max(o.drainStart()-age, minTrialAge).Seconds() * b.perSecond
	mean := spendable / max(remaining, 1)
	if (age % pulsePeriod).Seconds() < mean/pulseShare*pulsePeriod.Seconds() {
		return pulseShare
	}
	return 0
}

// coversMove reports whether all requests until the end of an order may go to the new version even if it is bad.
func (o Order) coversMove(age time.Duration, b budget) bool {
	return b.perSecond > 0 && (o.Duration-age).Seconds()*b.perSecond <= b.left
}

// TrialShare returns the share that each entry may use without word from the others: no sum of such shares exceeds what
// is allowed.
func (e Exposure) TrialShare() float64 { return trialFraction * e.Share }

// CanaryCount returns the number of servers of the new version, of n, that share a trial's requests. Each of them bears
// about the load that it will have after the move.
func CanaryCount(n int) int {
	return min(max(int(pulseShare*float64(n)+0.5), minCanaries), n)
}
