package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// falseAlarm is the probability with which one comparison rejects a version that is as good as the earlier ones. A
	// roll-out makes some hundred comparisons, most of which see the same answers.
	falseAlarm = 1e-5
	// doubt is the probability below which a version that is as good as the earlier ones does not move, lastingDoubt that
	// below which it is rolled back at the end by its answers since the order.
	doubt        = 0.005
	lastingDoubt = 0.002
	// falseAcceptance is the probability with which a version is accepted that gives badRate more bad answers than the
	// earlier ones on one route. Routes with less than minRouteShare of the answers are not judged separately.
	falseAcceptance = 0.0005
	badRate         = 0.15
	minRouteShare   = 0.05
	// minBad is the least number of bad answers on which a version is rejected.
	minBad = 3
	// failedMargin and slowMargin are the differences to the earlier versions that are tolerated, as rates.
	failedMargin = 0.01
	slowMargin   = 0.15
	// priorAnswers is the weight of the assumption, of one bad answer among them, about earlier versions of which few
	// answers are known.
	priorAnswers = 15
	// minOutlierGroup is the number of servers of the new version from which one may be bad for reasons of its own: a slow
	// or failing machine is not a bad version.
	minOutlierGroup = 3
)

// windows are the times before now over which versions are compared: a version may turn bad late, and both versions have
// the same trouble at the same time. 0 stands for the time since the order.
var windows = []time.Duration{2 * time.Second, 5 * time.Second, 0}

// Judge compares the answers of a new version with those of the earlier ones.
type Judge struct {
	snapshots []snapshot
	// servers is the number of servers of the new version.
	servers               int
	doubts, lastingDoubts string
	accepts               bool
}

// snapshot holds the answers since the order as of a time.
type snapshot struct {
	at      time.Time
	tallies map[Source]Tally
}

// Judge takes in the answers since the order and reports whether the new version is bad, and why. servers is the number
// of servers of the new version.
func (j *Judge) Judge(now time.Time, rows []Row, servers int) (reason string, bad bool) {
	j.servers = servers
	latest := snapshot{at: now, tallies: make(map[Source]Tally, len(rows))}
	for _, r := range rows {
		latest.tallies[r.Source] = latest.tallies[r.Source].plus(r.Tally)
	}
	j.doubts = ""
	for _, w := range windows {
		answers := latest.since(j.before(now, w))
		if reason := j.compare(answers, falseAlarm); reason != "" {
			return reason, true
		}
		j.doubts = cmp.Or(j.doubts, j.compare(answers, doubt))
	}
	j.lastingDoubts = j.compare(latest.tallies, lastingDoubt)
	j.accepts = j.accept(latest.tallies)
	j.add(latest)
	return "", false
}

// Accepts reports whether the answers up to the last call of Judge show that the new version is good.
func (j *Judge) Accepts() bool { return j.accepts }

// accept reports whether the answers show on each route that the new version is no worse than the earlier ones.
func (j *Judge) accept(tallies map[Source]Tally) bool {
	byRoute, all := j.byRoute(tallies)
	for _, a := range byRoute {
		if float64(a.earlier.Answers) >= minRouteShare*float64(all.earlier.Answers) && !a.accept() {
			return false
		}
	}
	return len(byRoute) > 0
}

// Doubts returns why the answers up to the last call of Judge make it doubtful that the new version is good, or "".
func (j *Judge) Doubts() string { return j.doubts }

// LastingDoubts returns why all answers since the order do, or "".
func (j *Judge) LastingDoubts() string { return j.lastingDoubts }

// before returns the answers as of the start of a window, which is that of the order if no snapshot is as old.
func (j *Judge) before(now time.Time, window time.Duration) map[Source]Tally {
	if window == 0 {
		return nil
	}
	var base map[Source]Tally
	for _, s := range j.snapshots {
		if now.Sub(s.at) < window {
			break
		}
		base = s.tallies
	}
	return base
}

// add keeps a snapshot and drops those that no window needs.
func (j *Judge) add(s snapshot) {
	longest := slices.Max(windows)
	keepFrom := 0
	for i, old := range j.snapshots {
		if s.at.Sub(old.at) >= longest {
			keepFrom = i
		}
	}
	j.snapshots = append(j.snapshots[keepFrom:], s)
}

// since returns the answers after those of base.
func (s snapshot) since(base map[Source]Tally) map[Source]Tally {
	diff := maps.Clone(s.tallies)
	for source, t := range base {
		diff[source] = diff[source].minus(t)
	}
	return diff
}

// compare returns why the answers show that the new version is bad, on one route or on all together, or "". They show it
// if a good version gave as many bad answers with less than the given probability.
func (j *Judge) compare(tallies map[Source]Tally, probability float64) string {
	byRoute, all := j.byRoute(tallies)
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		if reason := byRoute[route].compare(probability); reason != "" {
			return fmt.Sprintf("route %q: %s", route, reason)
		}
	}
	return all.compare(probability)
}

// byRoute groups answers by route, and returns all of them as well.
func (j *Judge) byRoute(tallies map[Source]Tally) (byRoute map[string]*arms, all *arms) {
	byRoute, all = make(map[string]*arms), newArms(j.servers)
	for source, t := range tallies {
		if byRoute[source.Route] == nil {
			byRoute[source.Route] = newArms(j.servers)
		}
		byRoute[source.Route].add(source.Endpoint, t)
		all.add(source.Endpoint, t)
	}
	return byRoute, all
}

// arms are the answers of the earlier versions and of the servers of the new one.
type arms struct {
	earlier Tally
	servers map[string]Tally
	// known is the number of servers of the new version, of which some may not have answered.
	known int
}

func newArms(known int) *arms { return &arms{servers: make(map[string]Tally), known: known} }

func (a *arms) add(endpoint string, t Tally) {
	if endpoint == "" {
		a.earlier = a.earlier.plus(t)
		return
	}
	a.servers[endpoint] = a.servers[endpoint].plus(t)
}

// channel is one way in which answers can be bad.
type channel struct {
	name   string
	margin float64
	counts func(Tally) (answers, bad int64)
}

var channels = []channel{
	{"failed", failedMargin, func(t Tally) (int64, int64) { return t.Answers, t.Failed }},
	{"slow", slowMargin, func(t Tally) (int64, int64) { return t.Timed, t.Slow }},
}

// compare returns in which way the new version is worse than the earlier ones, or "".
func (a *arms) compare(probability float64) string {
	for _, c := range channels {
		answers, bad := a.withoutOutlier(c)
		earlierAnswers, earlierBad := c.counts(a.earlier)
		usual := a.usualRate(c) + c.margin
		if bad >= minBad && binomialTail(answers, bad, usual) < probability {
			return fmt.Sprintf("%d of %d answers %s, %d of %d of the earlier versions", bad, answers, c.name, earlierBad, earlierAnswers)
		}
	}
	return ""
}

// usualRate is the rate of bad answers of the earlier versions.
func (a *arms) usualRate(c channel) float64 {
	answers, bad := c.counts(a.earlier)
	return float64(bad+1) / float64(answers+priorAnswers)
}

// accept reports whether a version whose answers are bad more often by badRate would have given more bad ones.
func (a *arms) accept() bool {
	for _, c := range channels {
		answers, bad := a.withoutOutlier(c)
		if 1-binomialTail(answers, bad+1, a.usualRate(c)+badRate) >= falseAcceptance {
			return false
		}
	}
	return true
}

// withoutOutlier sums up the answers of the new version, with the bad ones of the worst server bounded by about those of
// the second worst.
func (a *arms) withoutOutlier(c channel) (answers, bad int64) {
	var worst, second int64
	for _, t := range a.servers {
		n, b := c.counts(t)
		answers, bad = answers+n, bad+b
		if b > worst {
			worst, second = b, worst
		} else {
			second = max(second, b)
		}
	}
	if a.known >= minOutlierGroup {
		bad -= max(worst-second-1, 0)
	}
	return answers, bad
}

// binomialTail returns the probability of at least k bad answers of n, each of which is bad with probability p.
func binomialTail(n, k int64, p float64) float64 {
	if p >= 1 || k <= 0 {
		return 1
	}
	if k > n {
		return 0
	}
	logChoose := logFactorial(n) - logFactorial(k) - logFactorial(n-k)
	term := math.Exp(logChoose + float64(k)*math.Log(p) + float64(n-k)*math.Log1p(-p))
	sum := 0.0
	for i := k; i <= n; i++ {
		sum += term
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
		if float64(i) > float64(n)*p && term < sum*1e-9 {
			break
		}
	}
	return min(sum, 1)
}

func logFactorial(n int64) float64 {
	v, _ := math.Lgamma(float64(n + 1))
	return v
}
