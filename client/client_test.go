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

// buildStream returns the server-sent events of an answer with the given tokens. statedCount is the
// token count of the closing event.
func buildStream(tokens []string, statedCount int) string {
	var out strings.Builder
	d := contract.NewDigest()
	for i, token := range tokens {
		raw, _ := json.Marshal(tokenEvent{Index: i, Text: token})
		out.WriteString("id: 1\nevent: token\ndata: " + string(raw) + "\n\n")
		d.Add(token)
	}
	raw, _ := json.Marshal(entry.Answer{Count: statedCount, Digest: d.String()})
	return out.String() + "event: done\ndata: " + string(raw) + "\n\n"
}

// TestIncompleteAnswersAreRejected checks that answers that are truncated, altered or miscounted are
// reported as errors, both as a stream and as one document.
func TestIncompleteAnswersAreRejected(t *testing.T) {
	complete := buildStream([]string{"a", "b"}, 2)
	d := contract.NewDigest()
	d.Add("ab")
	document := `{"answer":"ab","count":2,"digest":"` + d.String() + `"}`
	for _, c := range []struct {
		name, body string
		stream, ok bool
	}{
		{"complete stream", complete, true, true},
		{"closing event missing", complete[:strings.Index(complete, "event: done")], true, false},
		{"token missing", strings.Replace(complete, `"n":1`, `"n":2`, 1), true, false},
		{"altered text", strings.Replace(complete, `"b"`, `"c"`, 1), true, false},
		{"wrong count", buildStream([]string{"a", "b"}, 3), true, false},
		{"complete document", document, false, true},
		{"altered document", strings.Replace(document, `"ab"`, `"a"`, 1), false, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(c.body))
		}))
		entryClient := Client{URL: server.URL}
		_, err := entryClient.Do(t.Context(), Request{Body: entry.Body{Stream: c.stream}}, nil)
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
	entryClient := Client{URL: server.URL}
	_, err := entryClient.Do(t.Context(), Request{}, nil)
	var refusal *Refusal
	var problem *contract.Problem
	if !errors.As(err, &refusal) || !errors.As(err, &problem) || len(refusal.Stages) != 1 || problem.Run != contract.NotRun {
		t.Fatalf("refusal: %v", err)
	}
}
