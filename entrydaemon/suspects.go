package entrydaemon

import (
	"time"

	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/suspect"
)

// suspects shows the table of suspect requests to the entry.
type suspects struct{ *suspect.Table }

var _ entry.Suspects = suspects{}

var verdicts = map[suspect.Verdict]entry.Verdict{
	suspect.Allowed: entry.Innocent,
	suspect.Alone:   entry.Alone,
	suspect.Refused: entry.Banned,
}

// Verdict implements entry.Suspects.
func (s suspects) Verdict(digest string) (entry.Verdict, time.Duration) {
	v, left := s.Table.Verdict(digest)
	return verdicts[v], left
}
