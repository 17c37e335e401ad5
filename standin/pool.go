package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/azurelead/azurelead/pipeline"
)

const (
	vectorSize    = 8
	documentCount = 4
)

// PoolOptions configure a Pool.
type PoolOptions struct{ WorkerOptions }

// Pool is the stand-in for one member of a pool of encoders, retrievers or
// rerankers. It answers all three calls.
type Pool struct{ *station }

// NewPool returns a pool member.
func NewPool(o PoolOptions) *Pool {
	p := &Pool{station: newStation(o.WorkerOptions)}
	m := mux.NewRouter()
	m.HandleFunc("/encode", p.encode).Methods(http.MethodPost)
	m.HandleFunc("/retrieve", p.retrieve).Methods(http.MethodPost)
	m.HandleFunc("/rerank", p.rerank).Methods(http.MethodPost)
	p.routes(m)
	p.handler = m
	return p
}

// poolCall is the body of every call of a pool.
type poolCall struct {
	Text      string              `json:"text"`
	Vector    []float32           `json:"vector,omitempty"`
	Documents []pipeline.Document `json:"documents,omitempty"`
}

func (p *Pool) encode(w http.ResponseWriter, r *http.Request) {
	p.serveCall(w, r, func(c poolCall) any {
		return pipeline.Output{Vector: Encode(c.Text)}
	})
}

func (p *Pool) retrieve(w http.ResponseWriter, r *http.Request) {
	p.serveCall(w, r, func(c poolCall) any {
		return pipeline.Output{Documents: Retrieve(c.Text)}
	})
}

func (p *Pool) rerank(w http.ResponseWriter, r *http.Request) {
	p.serveCall(w, r, func(c poolCall) any {
		return pipeline.Output{Documents: Rerank(c.Text, c.Documents)}
	})
}

func (p *Pool) serveCall(w http.ResponseWriter, r *http.Request, answer func(poolCall) any) {
	var c poolCall
	if !readJSON(w, r, &c) {
		return
	}
	p.work(w, r, func() any { return answer(c) })
}

// Encode returns the vector that a pool makes of text.
func Encode(text string) []float32 {
	seed := xxhash.Sum64String(text)
	rng := rand.New(rand.NewPCG(seed, 0))
	v := make([]float32, vectorSize)
	for i := range v {
		v[i] = rng.Float32()
	}
	return v
}

// Retrieve returns the documents that a pool finds for text.
func Retrieve(text string) []pipeline.Document {
	seed := xxhash.Sum64String(text)
	found := make([]pipeline.Document, documentCount)
	for i := range found {
		found[i] = pipeline.Document{
			ID:   fmt.Sprintf("doc-%08x-%d", uint32(seed), i),
			Text: fmt.Sprintf("Passage %d on %.40q.", i, text),
		}
	}
	return found
}

// Rerank returns the documents in the order in which a pool puts them.
func Rerank(text string, documents []pipeline.Document) []pipeline.Document {
	ordered := make([]pipeline.Document, len(documents))
	for i, d := range documents {
		d.Score = score(text, d.ID)
		ordered[i] = d
	}
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Score > ordered[j].Score })
	return ordered
}

// score is between 0 and 1 and depends on both arguments.
func score(text, id string) float64 {
	return rand.New(rand.NewPCG(xxhash.Sum64String(text), xxhash.Sum64String(id))).Float64()
}
