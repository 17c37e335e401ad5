package client

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
)

// events makes the stream of an answer with the given tokens; claimed is the
// count that its closing event states.
func events(tokens []string, claimed int) string {
	var out strings.Builder
	d := contract.NewDigest()
	for i, token := range tokens {
		raw, _ := json.Marshal(tokenEvent{N: i, Text: token})
		out.WriteString("id: 1\nevent: token\ndata: " + string(raw) + "\n\n")
		d.Add(token)
	}
	raw, _ := json.Marshal(entry.Answer{Count: claimed, Digest: d.String()})
	return out.String() + "event: done\ndata: " + string(raw) + "\n\n"
}

// TestOnlyWholeAnswersAreReturned answers with what is cut, crossed or
// miscounted, as a stream and as one document.
func TestOnlyWholeAnswersAreReturned(t *testing.T) {
	whole := events([]string{"a", "b"}, 2)
	d := contract.NewDigest()
	d.Add("ab")
	document := `{"answer":"ab","count":2,"digest":"` + d.String() + `"}`
	for _, c := range []struct {
		name, body string
		stream, ok bool
	}{
		{"whole stream", whole, true, true},
		{"closing event missing", whole[:strings.Index(whole, "event: done")], true, false},
		{"token missing", strings.Replace(whole, `"n":1`, `"n":2`, 1), true, false},
		{"another text", strings.Replace(whole, `"b"`, `"c"`, 1), true, false},
		{"another count", events([]string{"a", "b"}, 3), true, false},
		{"whole document", document, false, true},
		{"cut document", strings.Replace(document, `"ab"`, `"a"`, 1), false, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(c.body))
		}))
		asked := Client{URL: server.URL}
		_, err := asked.Do(t.Context(), Request{Body: entry.Body{Stream: c.stream}}, nil)
		if ok := err == nil; ok != c.ok || !ok && !Error.Has(err) {
			t.Errorf("%s: %v", c.name, err)
		}
		server.Close()
	}
}

func TestRefusalKeepsProblemAndStages(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"code":"overloaded","run":"not_run","stages":[{"stage":"encode"}]}`))
	}))
	defer server.Close()
	asked := Client{URL: server.URL}
	_, err := asked.Do(t.Context(), Request{}, nil)
	var refusal *Refusal
	var problem *contract.Problem
	if !errors.As(err, &refusal) || !errors.As(err, &problem) || len(refusal.Stages) != 1 || problem.Run != contract.NotRun {
		t.Fatalf("refusal: %v", err)
	}
}
