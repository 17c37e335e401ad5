package load

import (
	"bytes"
	"embed"
	"os"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"
)

//go:embed scenarios/*.yaml
var embedded embed.FS

// Scenario is a load with the faults that befall it.
type Scenario struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// Seed decides arrivals and contents: the same seed gives the same ones.
	Seed uint64 `yaml:"seed" json:"seed"`
	// Rate is the mean of all arrivals per second outside of bursts.
	Rate float64 `yaml:"rate" json:"rate" validate:"gt=0,lte=5000"`
	// WarmUp passes under the same load before anything counts.
	WarmUp   time.Duration `yaml:"warm_up" json:"warm_up_ns" validate:"gte=0"`
	Duration time.Duration `yaml:"duration" json:"duration_ns" validate:"gt=0,lte=600000000000"`
	Classes  []Class       `yaml:"classes" json:"classes" validate:"required,min=1,dive"`
	Bursts   []Burst       `yaml:"bursts" json:"bursts,omitempty" validate:"dive"`
	Events   []Event       `yaml:"events" json:"events,omitempty" validate:"dive"`
	Fleet    FleetSpec     `yaml:"fleet" json:"fleet"`
}

// Class is one kind of request.
type Class struct {
	Name     string `yaml:"name" json:"name" validate:"required"`
	Pipeline string `yaml:"pipeline" json:"pipeline" validate:"required"`
	// Share weighs the class among all.
	Share float64 `yaml:"share" json:"share" validate:"gt=0"`
	// Organisations weigh who asks.
	Organisations map[string]float64 `yaml:"organisations" json:"organisations" validate:"required,min=1,dive,gt=0"`
	// Words is the length of a question.
	Words int `yaml:"words" json:"words" validate:"min=1,max=20000"`
	// Distinct is how many different questions there are; 0 makes each its own.
	Distinct int `yaml:"distinct" json:"distinct" validate:"min=0"`
	// Devices is how many devices ask the same question at about the same time.
	Devices   int           `yaml:"devices" json:"devices" validate:"min=0,max=64"`
	MaxTokens int           `yaml:"max_tokens" json:"max_tokens" validate:"min=0"`
	Stream    bool          `yaml:"stream" json:"stream"`
	Deadline  time.Duration `yaml:"deadline" json:"deadline_ns" validate:"gt=0"`
	// Action makes the request carry the argument of a service, under a key of
	// its own.
	Action bool `yaml:"action" json:"action"`
}

// Burst multiplies the rate of one organisation, or of all, for a while. Times
// of bursts and events count from the end of the warm-up.
type Burst struct {
	At           time.Duration `yaml:"at" json:"at_ns" validate:"gte=0"`
	For          time.Duration `yaml:"for" json:"for_ns" validate:"gt=0"`
	Factor       float64       `yaml:"factor" json:"factor" validate:"gt=0,lte=100"`
	Organisation string        `yaml:"organisation" json:"organisation,omitempty"`
}

// Action is what an event does to the fleet.
type Action string

// The actions of events.
const (
	// ActionSlow multiplies the time of calls by the factor, Fail answers them with
	// errors, Heal ends both.
	ActionSlow    Action = "slow"
	ActionFail    Action = "fail"
	ActionRecover Action = "heal"
	// ActionMakeCold turns warm endpoints cold, Crash kills them.
	ActionMakeCold Action = "chill"
	ActionCrash    Action = "crash"
	// ActionDataCentreOut and In take a data centre out of service and back.
	ActionDataCentreOut Action = "out"
	ActionDataCentreIn  Action = "in"
	// ActionStoreDown and StoreUp are outages of the platform's store.
	ActionStoreDown Action = "store_down"
	ActionStoreUp   Action = "store_up"
)

// Event is a fault, or its end, at its time.
type Event struct {
	At time.Duration `yaml:"at" json:"at_ns" validate:"gte=0"`
	Do Action        `yaml:"do" json:"do" validate:"oneof=slow fail heal chill crash out in store_down store_up"`
	// Pool and DataCentre narrow it down; empty means all.
	Pool       string  `yaml:"pool" json:"pool,omitempty"`
	DataCentre string  `yaml:"data_centre" json:"data_centre,omitempty"`
	Count      int     `yaml:"count" json:"count,omitempty" validate:"min=0"`
	Factor     float64 `yaml:"factor" json:"factor,omitempty" validate:"gte=0"`
}

// LoadScenario reads a scenario from a file, or the embedded one of that name.
func LoadScenario(name string) (Scenario, error) {
	raw, err := os.ReadFile(name)
	if err != nil && !strings.ContainsAny(name, "/.") {
		raw, err = embedded.ReadFile("scenarios/" + name + ".yaml")
	}
	if err != nil {
		return Scenario{}, Error.New("scenario %q is neither a file nor one of: %s", name, strings.Join(EmbeddedScenarios(), ", "))
	}
	return ParseScenario(raw)
}

// EmbeddedScenarios lists the names of the scenarios that come along.
func EmbeddedScenarios() []string {
	files, err := embedded.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	var names []string
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".yaml"))
	}
	return names
}

// ParseScenario reads a scenario and refuses unknown members and bad values.
func ParseScenario(raw []byte) (Scenario, error) {
	var s Scenario
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(&s); err != nil {
		return Scenario{}, Error.Wrap(err)
	}
	s.Fleet.setDefaults()
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(s); err != nil {
		return Scenario{}, Error.Wrap(err)
	}
	return s, nil
}
