package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/azurelead/azurelead/entry"
)

// vocabulary holds the words from which questions are composed.
var vocabulary = [...]string{
	"heater", "valve", "anode", "cork", "tile", "warranty", "pressure", "guest", "floor", "delivery",
	"certificate", "element", "thermostat", "order", "supplier", "manual", "leak", "tender", "date", "repair",
}

// questionText returns the text of a class's question. The same class and number give the same
// text.
func questionText(c Class, number int) string {
	rng := rand.New(rand.NewPCG(uint64(number), uint64(len(c.Name))))
	var text strings.Builder
	fmt.Fprintf(&text, "%s question %d:", c.Name, number)
	for range c.Words {
		text.WriteByte(' ')
		text.WriteString(vocabulary[rng.IntN(len(vocabulary))])
	}
	return text.String()
}

// serviceArgument is the argument of a service call. The service repeats the reference in its
// answer, which shows whether the answer belongs to the request.
type serviceArgument struct {
	Reference string `json:"reference"`
	Item      string `json:"item"`
}

// referenceOf returns the reference of an arrival's booking or reservation, which is unique within
// a run.
func referenceOf(s Scenario, arrival Arrival) string {
	return fmt.Sprintf("%s-%d-%d", s.Classes[arrival.Class].Name, s.Seed, arrival.Index)
}

// requestBody returns the body of an arrival's request.
func requestBody(s Scenario, arrival Arrival) (entry.Body, error) {
	class := s.Classes[arrival.Class]
	content := entry.Body{Question: questionText(class, arrival.QuestionNumber), Stream: class.Stream, MaxTokens: class.MaxTokens}
	if !class.Action {
		return content, nil
	}
	raw, err := json.Marshal(serviceArgument{Reference: referenceOf(s, arrival), Item: vocabulary[arrival.Index%len(vocabulary)]})
	content.Action = raw
	return content, Error.Wrap(err)
}
