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

// PoolOptions configures a Pool.
type PoolOptions struct{ WorkerOptions }

// Pool simulates one member of a pool of encoders, retrievers or rerankers. It
// serves the calls of all three kinds.
type Pool struct{ *worker }

// NewPool returns a pool member, warm unless o has a cold limit.
func NewPool(o PoolOptions) *Pool {
	p := &Pool{worker: newWorker(o.WorkerOptions)}
	m := mux.NewRouter()
	m.HandleFunc("/encode", p.encode).Methods(http.MethodPost)
	m.HandleFunc("/retrieve", p.retrieve).Methods(http.MethodPost)
	m.HandleFunc("/rerank", p.rerank).Methods(http.MethodPost)
	p.routes(m)
	p.handler = m
	return p
}

// poolCall is the request body of all calls to a pool.
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

func (p *Pool) serveCall(w http.ResponseWriter, r *http.Request, compute func(poolCall) any) {
	var c poolCall
	if !readJSON(w, r, &c) {
		return
	}
	p.handle(w, r, func() any { return compute(c) })
}

// Encode returns the vector that a pool computes for text.
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
	documents := make([]pipeline.Document, documentCount)
	for i := range documents {
		documents[i] = pipeline.Document{
			ID:   fmt.Sprintf("doc-%08x-%d", uint32(seed), i),
			Text: fmt.Sprintf("Passage %d on %.40q.", i, text),
		}
	}
	return documents
}

// Rerank returns the documents in the order in which a pool ranks them for text,
// highest score first.
func Rerank(text string, documents []pipeline.Document) []pipeline.Document {
	ranked := make([]pipeline.Document, len(documents))
	for i, d := range documents {
		d.Score = score(text, d.ID)
		ranked[i] = d
	}
	sort.SliceStable(ranked, func(i, j int) bool { return ranked[i].Score > ranked[j].Score })
	return ranked
}

// score returns a deterministic score of a document for text, in [0, 1).
func score(text, id string) float64 {
	return rand.New(rand.NewPCG(xxhash.Sum64String(text), xxhash.Sum64String(id))).Float64()
}
