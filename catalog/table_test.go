package catalog

import (
	"fmt"
	"testing"
)

func TestTable(t *testing.T) {
	urgent := 0
	table := Compile(&Configuration{
		Routes: []Route{
			{Name: "short", Host: "h", PathPrefix: "/a/"},
			{Name: "long", Host: "h", PathPrefix: "/a/b/", Priority: 3},
			{Name: "other", Host: "g", PathPrefix: "/a/"},
		},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k"}, Priority: &urgent}},
	})
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/x", "short"}, {"h", "/a/b/x", "long"}, {"h", "/a/b", "short"}, {"g", "/a/b/", "other"}, {"h", "/c/", ""}, {"x", "/a/", ""},
	} {
		got := ""
		if r := table.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: %q, want %q", c.host, c.path, got, c.want)
		}
	}
	if table.Organisation("k").Name != "o" || table.Organisation("K") != nil {
		t.Error("keys")
	}
}

// The priority of an organisation takes precedence; requests of one priority are ordered by their
// routes.
func TestRank(t *testing.T) {
	urgent, usual := 0, 1
	ordered := []struct {
		name  string
		route int
		org   *Organisation
	}{
		{"urgent organisation, urgent route", 0, &Organisation{Priority: &urgent}},
		{"urgent organisation, usual route", 2, &Organisation{Priority: &urgent}},
		{"urgent organisation, route below the last rank", 9, &Organisation{Priority: &urgent}},
		{"usual organisation, urgent route", 0, &Organisation{Priority: &usual}},
		{"no organisation, usual route", 1, nil},
		{"usual organisation, lower route", 2, &Organisation{Priority: &usual}},
		{"organisation without priority, lower route", 2, &Organisation{}},
	}
	last := -1
	for _, c := range ordered {
		rank := Rank(&Route{Priority: c.route}, c.org)
		if rank <= last {
			t.Errorf("%s: rank %d does not follow %d", c.name, rank, last)
		}
		last = rank
	}
}

func TestServiceByWeight(t *testing.T) {
	r := Route{Services: []WeightedService{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}, {Service: "z", Weight: 0}}}
	counts := map[string]int{}
	for i := range 2000 {
		counts[r.Service(fmt.Sprint(i))]++
	}
	if counts["z"] != 0 || counts["y"] < 100 || counts["y"] > 300 {
		t.Errorf("requests per service: %v, want about 1800 for x, 200 for y and none for z", counts)
	}
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		r    Route
		want bool
	}{
		{Route{Kind: Idempotent}, true}, {Route{Kind: Once}, false},
		{Route{Kind: Streaming}, false}, {Route{Kind: Streaming, Resumable: true}, true}, {Route{Kind: Once, Resumable: true}, false},
	} {
		if c.r.Repeatable() != c.want {
			t.Errorf("%+v", c.r)
		}
	}
}
