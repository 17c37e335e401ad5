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

// Scenario describes a load, the faults injected into the fleet while it runs, and the fleet.
type Scenario struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// Seed determines the arrivals and the contents of requests.
	Seed uint64 `yaml:"seed" json:"seed"`
	// Rate is the mean number of requests per second outside bursts.
	Rate float64 `yaml:"rate" json:"rate" validate:"gt=0,lte=5000"`
	// WarmUp is the time under the same load before the measurement starts.
	WarmUp   time.Duration `yaml:"warm_up" json:"warm_up_ns" validate:"gte=0"`
	Duration time.Duration `yaml:"duration" json:"duration_ns" validate:"gt=0,lte=600000000000"`
	Classes  []Class       `yaml:"classes" json:"classes" validate:"required,min=1,dive"`
	Bursts   []Burst       `yaml:"bursts" json:"bursts,omitempty" validate:"dive"`
	Events   []Event       `yaml:"events" json:"events,omitempty" validate:"dive"`
	Fleet    FleetSpec     `yaml:"fleet" json:"fleet"`
}

// Class describes one kind of request.
type Class struct {
	Name     string `yaml:"name" json:"name" validate:"required"`
	Pipeline string `yaml:"pipeline" json:"pipeline" validate:"required"`
	// Share is the weight of the class among all requests.
	Share float64 `yaml:"share" json:"share" validate:"gt=0"`
	// Organisations maps the organisations that send these requests to their weights.
	Organisations map[string]float64 `yaml:"organisations" json:"organisations" validate:"required,min=1,dive,gt=0"`
	// Words is the length of a question in words.
	Words int `yaml:"words" json:"words" validate:"min=1,max=20000"`
	// Distinct is the number of different questions; 0 makes every question unique.
	Distinct int `yaml:"distinct" json:"distinct" validate:"min=0"`
	// Devices is the number of devices that ask each question within maxDeviceDelay; 0 means one.
	Devices   int           `yaml:"devices" json:"devices" validate:"min=0,max=64"`
	MaxTokens int           `yaml:"max_tokens" json:"max_tokens" validate:"min=0"`
	Stream    bool          `yaml:"stream" json:"stream"`
	Deadline  time.Duration `yaml:"deadline" json:"deadline_ns" validate:"gt=0"`
	// Action makes the request carry the argument of a service call and an idempotency key that is
	// unique to the request.
	Action bool `yaml:"action" json:"action"`
}

// Burst multiplies the rate of one organisation, or of all, for a period. The times of bursts and
// events are relative to the end of the warm-up.
type Burst struct {
	At           time.Duration `yaml:"at" json:"at_ns" validate:"gte=0"`
	For          time.Duration `yaml:"for" json:"for_ns" validate:"gt=0"`
	Factor       float64       `yaml:"factor" json:"factor" validate:"gt=0,lte=100"`
	Organisation string        `yaml:"organisation" json:"organisation,omitempty"`
}

// Action is the change that an event makes to the fleet.
type Action string

// The actions of events.
const (
	// ActionSlow multiplies the duration of calls by the factor, ActionFail answers them with
	// errors, and ActionRecover ends both.
	ActionSlow    Action = "slow"
	ActionFail    Action = "fail"
	ActionRecover Action = "heal"
	// ActionMakeCold turns warm endpoints cold, ActionCrash crashes them.
	ActionMakeCold Action = "chill"
	ActionCrash    Action = "crash"
	// ActionDataCentreOut takes a data centre out of service, ActionDataCentreIn returns it to
	// service.
	ActionDataCentreOut Action = "out"
	ActionDataCentreIn  Action = "in"
	// ActionStoreDown starts an outage of the platform's store, ActionStoreUp ends it.
	ActionStoreDown Action = "store_down"
	ActionStoreUp   Action = "store_up"
)

// Event is the start or the end of a fault at a scheduled time.
type Event struct {
	At time.Duration `yaml:"at" json:"at_ns" validate:"gte=0"`
	Do Action        `yaml:"do" json:"do" validate:"oneof=slow fail heal chill crash out in store_down store_up"`
	// Pool and DataCentre restrict the event to matching endpoints; empty values match all. Count
	// limits the number of endpoints that it affects; 0 is unlimited. Factor applies to ActionSlow
	// only.
	Pool       string  `yaml:"pool" json:"pool,omitempty"`
	DataCentre string  `yaml:"data_centre" json:"data_centre,omitempty"`
	Count      int     `yaml:"count" json:"count,omitempty" validate:"min=0"`
	Factor     float64 `yaml:"factor" json:"factor,omitempty" validate:"gte=0"`
}

// LoadScenario reads a scenario from a file, or the embedded scenario of that name if the file
// cannot be read.
func LoadScenario(name string) (Scenario, error) {
	raw, err := os.ReadFile(name)
	if err != nil && !strings.ContainsAny(name, "/.") {
		raw, err = embedded.ReadFile("scenarios/" + name + ".yaml")
	}
	if err != nil {
		return Scenario{}, Error.New("scenario %q is neither a readable file nor one of the embedded scenarios: %s", name, strings.Join(EmbeddedScenarios(), ", "))
	}
	return ParseScenario(raw)
}

// EmbeddedScenarios returns the names of the scenarios that are part of the program.
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

// ParseScenario decodes a scenario from YAML, sets the fleet's defaults, and returns an error for
// unknown keys and invalid values.
func ParseScenario(raw []byte) (Scenario, error) {
	var scenario Scenario
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	decoder.KnownFields(true)
	if err := decoder.Decode(&scenario); err != nil {
		return Scenario{}, Error.Wrap(err)
	}
	scenario.Fleet.setDefaults()
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(scenario); err != nil {
		return Scenario{}, Error.Wrap(err)
	}
	return scenario, nil
}
