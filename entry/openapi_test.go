package entry

import (
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.yaml.in/yaml/v3"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// The OpenAPI document has the route of the code and exactly its members.
func TestOpenAPIMatchesTheCode(t *testing.T) {
	raw, err := os.ReadFile("../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var doc struct {
		Paths      map[string]any `yaml:"paths"`
		Components struct {
			Schemas map[string]struct {
				Properties map[string]any `yaml:"properties"`
			} `yaml:"schemas"`
		} `yaml:"components"`
	}
	if err := yaml.Unmarshal(raw, &doc); err != nil {
		t.Fatal(err)
	}
	if _, ok := doc.Paths[RunsPath]; !ok {
		t.Errorf("no path %s", RunsPath)
	}
	for name, types := range map[string][]any{
		"Body": {Body{}}, "Answer": {Answer{}}, "StageReport": {StageReport{}},
		"Usage": {pipeline.Usage{}}, "Problem": {contract.Problem{}, ProblemReport{}},
	} {
		var want []string
		for _, v := range types {
			want = append(want, members(reflect.TypeOf(v))...)
		}
		slices.Sort(want)
		got := slices.Sorted(maps.Keys(doc.Components.Schemas[name].Properties))
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-code +file):\n%s", name, diff)
		}
	}
}

// members returns the JSON names of a struct's own fields.
func members(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); name != "" {
			out = append(out, name)
		}
	}
	return out
}
