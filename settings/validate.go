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

// namePattern matches valid names in the tree. Dots and slashes are excluded, as they separate
// the parts of paths and of the store's keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

var fieldRules = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlKey)
	return v
})

// Validate reports all errors in a document, as Faults in an error of class Invalid.
func Validate(d Document) error { return findFaults(d).asError() }

func findFaults(d Document) Faults {
	v := validation{doc: d}
	v.checkFields()
	v.checkRequest([]string{"request"}, d.Request)
	v.checkPipelines()
	v.checkOrganisations()
	v.checkDataCentres()
	return v.faults
}

// validation collects the faults of a document.
type validation struct {
	doc    Document
	faults Faults
}

// checkFields checks the rules in the validate tags of the members.
func (v *validation) checkFields() {
	err := fieldRules().Struct(v.doc)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return
	}
	for _, fieldErr := range fieldErrors {
		v.faults.add([]string{fieldPath(fieldErr.Namespace())}, "%s", ruleText(fieldErr))
	}
}

// fieldPath converts a path such as "Document.organisations[acme].token_sha256[0]" to
// "organisations.acme.token_sha256.0".
func fieldPath(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return strings.NewReplacer("[", ".", "]", "").Replace(path)
}

func ruleText(fieldErr validator.FieldError) string {
	switch fieldErr.Tag() {
	case "required":
		return "is required"
	case "min":
		return minRuleText(fieldErr)
	case "max":
		return fmt.Sprintf("%v is above %s", fieldErr.Value(), fieldErr.Param())
	case "len":
		return fmt.Sprintf("must have %s characters", fieldErr.Param())
	case "hexadecimal":
		return "must be hexadecimal digits"
	}
	return fmt.Sprintf("breaks the rule %s=%s", fieldErr.Tag(), fieldErr.Param())
}

func minRuleText(fieldErr validator.FieldError) string {
	if fieldErr.Kind() == reflect.Slice {
		return fmt.Sprintf("needs at least %s", fieldErr.Param())
	}
	return fmt.Sprintf("%v is below %s", fieldErr.Value(), fieldErr.Param())
}

func (v *validation) checkName(path ...string) {
	if !namePattern.MatchString(path[len(path)-1]) {
		v.faults.add(path, "name must match %s", namePattern)
	}
}

// checkRequest checks the request overrides at path.
func (v *validation) checkRequest(path []string, r RequestOverrides) {
	if r.MaxDeadline != nil && *r.MaxDeadline <= 0 {
		v.faults.add(appendPath(path, "max_deadline"), "%s is not above 0s", time.Duration(*r.MaxDeadline))
	}
}

func (v *validation) checkPipelines() {
	for name, p := range v.doc.Pipelines {
		path := []string{"pipelines", name}
		v.checkName(path...)
		v.checkRequest(appendPath(path, "request"), p.Request)
		seen := map[string]bool{}
		for i, st := range p.Stages {
			stagePath := appendPath(path, "stages", fmt.Sprint(i))
			if seen[st.Name] {
				v.faults.add(appendPath(stagePath, "name"), "stage %s is declared twice", st.Name)
			}
			seen[st.Name] = true
			v.checkStage(stagePath, st)
		}
	}
}

func (v *validation) checkStage(path []string, st Stage) {
	v.checkRequest(appendPath(path, "request"), st.Request)
	v.checkStageName(appendPath(path, "name"), st.Name)
	if st.Kind != "" && !st.Kind.Valid() {
		v.faults.add(appendPath(path, "kind"), "%q is none of %v", st.Kind, pipeline.Kinds)
	}
	if st.Once && st.Kind != pipeline.Service {
		v.faults.add(appendPath(path, "once"), "only a stage of kind %s may be once, this one is %q", pipeline.Service, st.Kind)
	}
	if st.Kind == pipeline.Service && st.Operation == "" {
		v.faults.add(appendPath(path, "operation"), "a stage of kind %s needs an operation", pipeline.Service)
	}
}

func (v *validation) checkStageName(path []string, name string) {
	if name != "" && !namePattern.MatchString(name) {
		v.faults.add(path, "name %q must match %s", name, namePattern)
	}
}

func (v *validation) checkOrganisations() {
	ownerOf := map[string]string{}
	for _, name := range sortedKeys(v.doc.Organisations) {
		o := v.doc.Organisations[name]
		path := []string{"organisations", name}
		v.checkName(path...)
		v.checkRequest(appendPath(path, "request"), o.Request)
		for i, t := range o.TokenSHA256 {
			t = strings.ToLower(t)
			if otherOwner, taken := ownerOf[t]; taken {
				v.faults.add(appendPath(path, "token_sha256", fmt.Sprint(i)), "is a token of organisation %s as well", otherOwner)
			}
			ownerOf[t] = name
		}
		for p, op := range o.Pipelines {
			v.checkOrganisationPipeline(appendPath(path, "pipelines", p), p, op)
		}
	}
}

func (v *validation) checkOrganisationPipeline(path []string, name string, op OrganisationPipeline) {
	p, ok := v.doc.Pipelines[name]
	if !ok {
		v.faults.add(path, "there is no pipeline %s", name)
		return
	}
	v.checkRequest(appendPath(path, "request"), op.Request)
	for stage, r := range op.Stages {
		stagePath := appendPath(path, "stages", stage)
		if _, ok := p.Stage(stage); !ok {
			v.faults.add(stagePath, "pipeline %s has no stage %s", name, stage)
		}
		v.checkRequest(stagePath, r)
	}
}

func (v *validation) checkDataCentres() {
	v.checkLimits([]string{"endpoint"}, "", "", "")
	for dc, c := range v.doc.DataCentres {
		path := []string{"data_centres", dc}
		v.checkName(path...)
		v.checkLimits(appendPath(path, "endpoint"), dc, "", "")
		for pool, p := range c.Pools {
			poolPath := appendPath(path, "pools", pool)
			v.checkName(poolPath...)
			v.checkLimits(appendPath(poolPath, "endpoint"), dc, pool, "")
			v.checkModels(poolPath, p.Models)
			for e := range p.Endpoints {
				v.checkName(appendPath(poolPath, "endpoints", e)...)
				v.checkLimits(appendPath(poolPath, "endpoints", e), dc, pool, e)
			}
		}
	}
}

// checkModels checks the desired models of a pool.
func (v *validation) checkModels(path []string, desired []DesiredModel) {
	type identity struct{ model, version, role string }
	seen := make(map[identity]bool)
	for i, m := range desired {
		modelPath := appendPath(path, "models", strconv.Itoa(i))
		if m.MaxCopies > 0 && m.MinCopies > m.MaxCopies {
			v.faults.add(appendPath(modelPath, "min_copies"), "%d is above max_copies %d", m.MinCopies, m.MaxCopies)
		}
		key := identity{m.Model, m.Version, m.Role}
		if seen[key] {
			v.faults.add(modelPath, "the model, version and role are listed twice")
		}
		seen[key] = true
	}
}

// checkLimits checks the resolved limits at one level, since ColdLimit and MaxLimit may be set at
// different levels.
func (v *validation) checkLimits(path []string, dc, pool, endpoint string) {
	s := Snapshot{Document: v.doc}
	if e := s.ResolveEndpoint(dc, pool, endpoint); e.ColdLimit > e.MaxLimit {
		v.faults.add(appendPath(path, "cold_limit"), "%d is above max_limit %d, as resolved here", e.ColdLimit, e.MaxLimit)
	}
}

func appendPath(path []string, keys ...string) []string {
	return append(slices.Clone(path), keys...)
}
