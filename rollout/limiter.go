package rollout

// maxCredit bounds the requests that a Limiter lets pass in a row, so that credit saved in a quiet time is not spent in
// a burst.
const maxCredit = 3

// Limiter bounds the requests that one entry sends to a new version by a share of all requests that it sends to the
// service. As each entry keeps to the share of its own requests, all of them do together, whether or not they know
// of each other.
type Limiter struct {
	share float64
	// credit is the number of requests that may be sent to the new version; negative after requests that had to go
	// there.
	credit float64
}

// NewLimiter returns a limiter whose first requests may be sent without credit, as many as initial.
func NewLimiter(initial float64) *Limiter { return &Limiter{credit: min(initial, maxCredit)} }

// SetShare sets the share of the requests that may be sent to the new version from now on.
func (l *Limiter) SetShare(share float64) { l.share = share }

// Open reports whether all requests may be sent to the new version.
func (l *Limiter) Open() bool { return l.share >= 1 }

// TryTake takes the credit for a request to the new version, and reports whether there was any.
func (l *Limiter) TryTake() bool {
	if !l.Open() && l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

// Take takes the credit for a request that has to go to the new version.
func (l *Limiter) Take() { l.credit-- }

// Refund gives back the credit of a request that was not sent to the new version.
func (l *Limiter) Refund() { l.credit = min(l.credit+1, maxCredit) }

// Sent records that a request was sent to a server of the service, of any version.
func (l *Limiter) Sent() { l.credit = min(l.credit+l.share, maxCredit) }
