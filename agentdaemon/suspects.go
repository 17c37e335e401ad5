package agentdaemon

import (
	"github.com/azurelead/azurelead/agent"
	"github.com/azurelead/azurelead/suspect"
)

// suspects shows the table of suspect requests to the agent.
type suspects struct{ *suspect.Table }

var _ agent.Suspects = suspects{}

var judgements = map[suspect.Verdict]agent.Judgement{
	suspect.Allowed: agent.Allow,
	suspect.Alone:   agent.Isolate,
	suspect.Refused: agent.Refuse,
}

// Judge implements agent.Suspects.
func (s suspects) Judge(digest string) agent.Judgement {
	v, _ := s.Verdict(digest)
	return judgements[v]
}
