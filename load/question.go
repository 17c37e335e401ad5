package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/azurelead/azurelead/entry"
)

// words make up the questions.
var words = [...]string{
	"heater", "valve", "anode", "cork", "tile", "warranty", "pressure", "guest", "floor", "delivery",
	"certificate", "element", "thermostat", "order", "supplier", "manual", "leak", "tender", "date", "repair",
}

// question is the text of a class's question: the number decides it wholly.
func question(c Class, number int) string {
	rng := rand.New(rand.NewPCG(uint64(number), uint64(len(c.Name))))
	var s strings.Builder
	fmt.Fprintf(&s, "%s question %d:", c.Name, number)
	for range c.Words {
		s.WriteByte(' ')
		s.WriteString(words[rng.IntN(len(words))])
	}
	return s.String()
}

// action is the argument of a service call. Its reference names the arrival,
// so that the service's answer shows whose it is.
type action struct {
	Reference string `json:"reference"`
	Item      string `json:"item"`
}

// reference names an arrival's booking or reservation.
func reference(s Scenario, a Arrival) string {
	return fmt.Sprintf("%s-%d-%d", s.Classes[a.Class].Name, s.Seed, a.Index)
}

// body makes the body of an arrival's request.
func body(s Scenario, a Arrival) (entry.Body, error) {
	c := s.Classes[a.Class]
	b := entry.Body{Question: question(c, a.QuestionNumber), Stream: c.Stream, MaxTokens: c.MaxTokens}
	if !c.Action {
		return b, nil
	}
	raw, err := json.Marshal(action{Reference: reference(s, a), Item: words[a.Index%len(words)]})
	b.Action = raw
	return b, Error.Wrap(err)
}
