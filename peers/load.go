package peers

import "github.com/azurelead/azurelead/speed"

// encodeLoad returns the form in which a load is sent; nil for none.
func encodeLoad(l *speed.Load) []float64 {
	if l == nil {
		return nil
	}
	return []float64{float64(l.Requests), l.WorkFactor}
}

// decodeLoad returns the load that was sent; nil if there is none, or of another form.
func decodeLoad(sent []float64) *speed.Load {
	if len(sent) != 2 {
		return nil
	}
	return &speed.Load{Requests: int(min(max(sent[0], 0), maxSentRequests)), WorkFactor: sent[1]}
}

// maxSentRequests is far above any number of requests at one engine.
const maxSentRequests = 1e6
