package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validText = `
request: {max_deadline: 4s}
endpoint: {cold_limit: 2}
pipelines:
  warranty:
    request: {retry_percent: 5}
    stages:
      - {name: encode, kind: encode, pool: encoders}
      - {name: book, kind: service, pool: booking, operation: book, once: true}
organisations:
  acme:
    token_sha256: [9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08]
    request: {priority: 3}
    pipelines:
      warranty:
        stages:
          encode: {max_tokens: 9}
data_centres:
  east-1:
    region: east
    pools:
      encoders:
        endpoint: {max_limit: 8}
        endpoints:
          encoder-1: {cold_limit: 4}
`

func mustParse(t testing.TB, text string) Document {
	t.Helper()
	d, err := Parse(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestParseReportsEveryFaultWithItsPath(t *testing.T) {
	text := `
requests: {max_deadline: 4s}
request: {max_deadline: soon, priority: 12}
pipelines:
  p:
    stages:
      - {name: a, kind: encode, pool: x, once: true}
`
	wantFaults := []Fault{
		{Path: "requests", Line: 2, Message: "unknown key; known here: request, endpoint, max_loads, pipelines, organisations, data_centres"},
		{Path: "request.max_deadline", Line: 3, Message: `"soon" is not a duration such as 4s or 250ms`},
	}
	if diff := cmp.Diff(wantFaults, []Fault(parseFaults(t, text))); diff != "" {
		t.Error(diff)
	}
	text = `
request: {max_deadline: 0s, priority: 12}
endpoint: {cold_limit: 9, max_limit: 8}
pipelines:
  p:
    stages:
      - {name: a, kind: encode, pool: x, once: true}
      - {name: a, kind: dream, pool: x}
  q: {stages: []}
organisations:
  o1: {token_sha256: [ab], pipelines: {nope: {}, p: {stages: {z: {}}}}}
`
	var got []string
	for _, f := range parseFaults(t, text) {
		got = append(got, f.String())
	}
	want := []string{
		"endpoint.cold_limit: 9 is above max_limit 8, as resolved here",
		"organisations.o1.pipelines.nope: there is no pipeline nope",
		"organisations.o1.pipelines.p.stages.z: pipeline p has no stage z",
		"organisations.o1.token_sha256.0: must have 64 characters",
		`pipelines.p.stages.0.once: only a stage of kind service may be once, this one is "encode"`,
		`pipelines.p.stages.1.kind: "dream" is none of [encode retrieve rerank generate service]`,
		"pipelines.p.stages.1.name: stage a is declared twice",
		"pipelines.q.stages: needs at least 1",
		"request.max_deadline: 0s is not above 0s",
		"request.priority: 12 is above 9",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func parseFaults(t *testing.T, text string) Faults {
	t.Helper()
	_, err := Parse(strings.NewReader(text))
	var fs Faults
	if !errors.As(err, &fs) || !Invalid.Has(err) {
		t.Fatalf("error is %v", err)
	}
	return fs
}

func TestExplainReportsLevels(t *testing.T) {
	s := &Snapshot{Version: 1, Document: mustParse(t, validText)}
	got := map[string]Level{}
	for _, v := range s.ExplainRequest("acme", "warranty", "encode") {
		got[v.Name] = v.Level
	}
	for _, v := range s.ExplainEndpoint("east-1", "encoders", "encoder-1") {
		got[v.Name] = v.Level
	}
	want := map[string]Level{
		"max_deadline":   FleetLevel,
		"retry_percent":  "pipelines.warranty",
		"hedge":          DefaultLevel,
		"priority":       "organisations.acme",
		"max_tokens":     "organisations.acme.pipelines.warranty.stages.encode",
		"max_body_bytes": DefaultLevel,
		"cold_limit":     "data_centres.east-1.pools.encoders.endpoints.encoder-1",
		"max_limit":      "data_centres.east-1.pools.encoders",
		"ramp_answers":   DefaultLevel,
		"queue_limit":    DefaultLevel,
		"checks_fence":   DefaultLevel,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if name, ok := s.OrganisationByToken("test"); !ok || name != "acme" {
		t.Errorf("token belongs to organisation %q, %v", name, ok)
	}
	if _, ok := s.OrganisationByToken("tes"); ok {
		t.Error("an unknown token was accepted")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validText)
	f.Add("a: &a [*a, *a]")
	f.Add("{request: {max_deadline: 1e99s}}")
	f.Add("organisations: {? [x] : y}")
	f.Add("---\n---\n")
	f.Add("<<: {request: {}}")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse(strings.NewReader(text))
		if err != nil {
			if !Invalid.Has(err) {
				t.Fatalf("error of another class: %v", err)
			}
			return
		}
		again, err := Format(d)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(d, mustParse(t, string(again))); diff != "" {
			t.Fatal(diff)
		}
		if _, err := splitDocument(d); err != nil {
			t.Fatal(err)
		}
	})
}
