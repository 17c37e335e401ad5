package settings

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"

	"github.com/azurelead/azurelead/pipeline"
)

// namePattern is what names of the tree may look like. Dots and slashes are
// kept out, as they separate the parts of paths and of the store's keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

var fieldRules = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlKey)
	return v
})

// Validate reports everything that is wrong with a document, as Faults in an
// error of class Invalid.
func Validate(d Document) error { return check(d).asError() }

func check(d Document) Faults {
	v := validation{doc: d}
	v.fields()
	v.request([]string{"request"}, d.Request)
	v.pipelines()
	v.organisations()
	v.dataCentres()
	return v.faults
}

// validation collects the faults of one document.
type validation struct {
	doc    Document
	faults Faults
}

// fields checks the rules that are declared beside each member.
func (v *validation) fields() {
	err := fieldRules().Struct(v.doc)
	var broken validator.ValidationErrors
	if !errors.As(err, &broken) {
		return
	}
	for _, b := range broken {
		v.faults.add([]string{fieldPath(b.Namespace())}, "%s", ruleText(b))
	}
}

// fieldPath turns "Document.organisations[acme].token_sha256[0]" into
// "organisations.acme.token_sha256.0".
func fieldPath(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return strings.NewReplacer("[", ".", "]", "").Replace(path)
}

func ruleText(b validator.FieldError) string {
	switch b.Tag() {
	case "required":
		return "is required"
	case "min":
		return atLeast(b)
	case "max":
		return fmt.Sprintf("%v is above %s", b.Value(), b.Param())
	case "len":
		return fmt.Sprintf("must have %s characters", b.Param())
	case "hexadecimal":
		return "must be hexadecimal digits"
	}
	return fmt.Sprintf("breaks the rule %s=%s", b.Tag(), b.Param())
}

func atLeast(b validator.FieldError) string {
	if b.Kind() == reflect.Slice {
		return fmt.Sprintf("needs at least %s", b.Param())
	}
	return fmt.Sprintf("%v is below %s", b.Value(), b.Param())
}

func (v *validation) name(path ...string) {
	if !namePattern.MatchString(path[len(path)-1]) {
		v.faults.add(path, "name must match %s", namePattern)
	}
}

// request checks the overrides that stand at path.
func (v *validation) request(path []string, r RequestOverrides) {
	if r.MaxDeadline != nil && *r.MaxDeadline <= 0 {
		v.faults.add(under(path, "max_deadline"), "%s is not above 0s", time.Duration(*r.MaxDeadline))
	}
}

func (v *validation) pipelines() {
	for name, p := range v.doc.Pipelines {
		path := []string{"pipelines", name}
		v.name(path...)
		v.request(under(path, "request"), p.Request)
		seen := map[string]bool{}
		for i, st := range p.Stages {
			at := under(path, "stages", fmt.Sprint(i))
			if seen[st.Name] {
				v.faults.add(under(at, "name"), "stage %s is declared twice", st.Name)
			}
			seen[st.Name] = true
			v.stage(at, st)
		}
	}
}

func (v *validation) stage(path []string, st Stage) {
	v.request(under(path, "request"), st.Request)
	v.stageName(under(path, "name"), st.Name)
	if st.Kind != "" && !st.Kind.Valid() {
		v.faults.add(under(path, "kind"), "%q is none of %v", st.Kind, pipeline.Kinds)
	}
	if st.Once && st.Kind != pipeline.Service {
		v.faults.add(under(path, "once"), "only a stage of kind %s may be once, this one is %q", pipeline.Service, st.Kind)
	}
	if st.Kind == pipeline.Service && st.Operation == "" {
		v.faults.add(under(path, "operation"), "a stage of kind %s needs an operation", pipeline.Service)
	}
}

func (v *validation) stageName(path []string, name string) {
	if name != "" && !namePattern.MatchString(name) {
		v.faults.add(path, "name %q must match %s", name, namePattern)
	}
}

func (v *validation) organisations() {
	owner := map[string]string{}
	for _, name := range sortedKeys(v.doc.Organisations) {
		o := v.doc.Organisations[name]
		path := []string{"organisations", name}
		v.name(path...)
		v.request(under(path, "request"), o.Request)
		for i, t := range o.TokenSHA256 {
			t = strings.ToLower(t)
			if other, taken := owner[t]; taken {
				v.faults.add(under(path, "token_sha256", fmt.Sprint(i)), "is a token of organisation %s as well", other)
			}
			owner[t] = name
		}
		for p, op := range o.Pipelines {
			v.organisationPipeline(under(path, "pipelines", p), p, op)
		}
	}
}

func (v *validation) organisationPipeline(path []string, name string, op OrganisationPipeline) {
	p, ok := v.doc.Pipelines[name]
	if !ok {
		v.faults.add(path, "there is no pipeline %s", name)
		return
	}
	v.request(under(path, "request"), op.Request)
	for stage, r := range op.Stages {
		at := under(path, "stages", stage)
		if _, ok := p.Stage(stage); !ok {
			v.faults.add(at, "pipeline %s has no stage %s", name, stage)
		}
		v.request(at, r)
	}
}

func (v *validation) dataCentres() {
	v.limits([]string{"endpoint"}, "", "", "")
	for dc, c := range v.doc.DataCentres {
		path := []string{"data_centres", dc}
		v.name(path...)
		v.limits(under(path, "endpoint"), dc, "", "")
		for pool, p := range c.Pools {
			at := under(path, "pools", pool)
			v.name(at...)
			v.limits(under(at, "endpoint"), dc, pool, "")
			v.models(at, p.Models)
			for e := range p.Endpoints {
				v.name(under(at, "endpoints", e)...)
				v.limits(under(at, "endpoints", e), dc, pool, e)
			}
		}
	}
}

// models checks the desired models of a pool.
func (v *validation) models(path []string, desired []DesiredModel) {
	type identity struct{ model, version, role string }
	seen := make(map[identity]bool)
	for i, w := range desired {
		at := under(path, "models", strconv.Itoa(i))
		if w.MaxCopies > 0 && w.MinCopies > w.MaxCopies {
			v.faults.add(under(at, "min_copies"), "%d is above max_copies %d", w.MinCopies, w.MaxCopies)
		}
		key := identity{w.Model, w.Version, w.Role}
		if seen[key] {
			v.faults.add(at, "the model, version and role are listed twice")
		}
		seen[key] = true
	}
}

// limits checks the resolved limits at one level, since the two of them may
// come from different levels.
func (v *validation) limits(path []string, dc, pool, endpoint string) {
	s := Snapshot{Document: v.doc}
	if e := s.ResolveEndpoint(dc, pool, endpoint); e.ColdLimit > e.MaxLimit {
		v.faults.add(under(path, "cold_limit"), "%d is above max_limit %d, as resolved here", e.ColdLimit, e.MaxLimit)
	}
}

func under(path []string, keys ...string) []string {
	return append(slices.Clone(path), keys...)
}
