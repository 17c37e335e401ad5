package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/azurelead/azurelead/catalog"
)

// Change is one difference between two configurations. Before is empty for an added value, After for a removed one.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns how a configuration differs from the one in force. Keys are counted, not shown.
func Diff(inForce, next *catalog.Configuration) []Change {
	var d differ
	d.compare("limits", inForce.Limits, next.Limits)
	d.compareAll("routes", routesByPlace(inForce), routesByPlace(next))
	d.compareAll("services", values(inForce.Services), values(next.Services))
	d.compareAll("organisations", organisationsByName(inForce), organisationsByName(next))
	return d.changes
}

// CheckVersion returns a finding if the configuration would not replace the one in force.
func CheckVersion(inForce, next *catalog.Configuration) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Error, "version", fmt.Sprintf("%d is not above that in force, %d: it would be ignored", next.Version, inForce.Version)}}
}

type differ struct{ changes []Change }

// compareAll compares declarations by name.
func (d *differ) compareAll(path string, before, after map[string]any) {
	names := slices.Compact(slices.Sorted(func(yield func(string) bool) {
		for _, m := range []map[string]any{before, after} {
			for name := range m {
				if !yield(name) {
					return
				}
			}
		}
	}))
	for _, name := range names {
		b, wasThere := before[name]
		a, isThere := after[name]
		switch {
		case !wasThere:
			d.changes = append(d.changes, Change{Path: path + "." + name, After: "added"})
		case !isThere:
			d.changes = append(d.changes, Change{Path: path + "." + name, Before: "removed"})
		default:
			d.compare(path+"."+name, b, a)
		}
	}
}

// compare compares two values of one struct type, field by field.
func (d *differ) compare(path string, before, after any) {
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range b.NumField() {
		if x, y := b.Field(i).Interface(), a.Field(i).Interface(); !reflect.DeepEqual(x, y) {
			d.changes = append(d.changes, Change{Path: path + "." + b.Type().Field(i).Name, Before: text(x), After: text(y)})
		}
	}
}

// text formats a value for output. Pointers are dereferenced.
func text(v any) string {
	r := reflect.ValueOf(v)
	if r.Kind() != reflect.Pointer {
		return cmp.Or(fmt.Sprintf("%+v", v), "none")
	}
	if r.IsNil() {
		return "none"
	}
	return fmt.Sprintf("%+v", r.Elem().Interface())
}

func routesByPlace(c *catalog.Configuration) map[string]any {
	m := make(map[string]any)
	for _, r := range c.Routes {
		m[r.Host+r.PathPrefix] = r
	}
	return m
}

func values(services map[string]*catalog.Service) map[string]any {
	m := make(map[string]any)
	for name, s := range services {
		m[name] = *s
	}
	return m
}

// organisation is an organisation without its keys.
type organisation struct {
	Keys     string
	Priority *int
	Regions  []string
}

func organisationsByName(c *catalog.Configuration) map[string]any {
	m := make(map[string]any)
	for _, o := range c.Organisations {
		m[o.Name] = organisation{Keys: keySet(o.Keys), Priority: o.Priority, Regions: o.Regions}
	}
	return m
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
