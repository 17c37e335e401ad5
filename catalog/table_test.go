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
	if r := table.Route("h", "/a/b/"); Rank(r, nil) != 3 || Rank(r, table.Organisation("k")) != 0 {
		t.Error("ranks")
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
