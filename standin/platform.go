package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/azurelead/azurelead/platform"
)

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	Seed   uint64
	Faults platform.Faults
}

// Platform simulates the platform's object API and instance list. It serves a
// platform.Memory over HTTP.
type Platform struct {
	*host
	memory *platform.Memory
}

// NewPlatform returns a platform without objects and instances.
func NewPlatform(o PlatformOptions) *Platform {
	p := &Platform{
		host:   newHost(0),
		memory: platform.NewMemory(platform.MemoryOptions{Seed: o.Seed, Faults: o.Faults}),
	}
	p.handler = p.routes()
	return p
}

// Memory returns the store that p serves, so that tests can set its faults and
// read its call counts.
func (p *Platform) Memory() *platform.Memory { return p.memory }

func (p *Platform) routes() http.Handler {
	m := mux.NewRouter().SkipClean(true)
	object := platform.PathObjects + "/{key:.+}"
	m.HandleFunc(object, p.get).Methods(http.MethodGet)
	m.HandleFunc(object, p.put).Methods(http.MethodPut)
	m.HandleFunc(object, p.delete).Methods(http.MethodDelete)
	m.HandleFunc(platform.PathObjects, p.list).Methods(http.MethodGet)
	m.HandleFunc(platform.PathInstances, p.instances).Methods(http.MethodGet)
	m.HandleFunc("/control/instances", p.setInstances).Methods(http.MethodPut)
	m.HandleFunc("/control/faults", p.setFaults).Methods(http.MethodPost)
	m.HandleFunc("/control/stats", p.stats).Methods(http.MethodGet)
	return m
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has(platform.ParamAfter) {
		p.watch(w, r)
		return
	}
	o, err := p.memory.Get(r.Context(), mux.Vars(r)["key"])
	p.respond(w, o, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, ok := uintParam(w, r, platform.ParamAfter)
	if !ok {
		return
	}
	ctx := r.Context()
	if r.URL.Query().Has(platform.ParamWaitMS) {
		wait, ok := uintParam(w, r, platform.ParamWaitMS)
		if !ok {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
		defer cancel()
		ctx = bounded
	}
	o, err := p.memory.Watch(ctx, mux.Vars(r)["key"], after)
	if err != nil && ctx.Err() != nil {
		err = platform.NoChange.Wrap(err)
	}
	p.respond(w, o, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	version, ok := uintParam(w, r, platform.ParamIfVersion)
	if !ok {
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		dropConnection(w)
		return
	}
	if len(value) <= platform.MaxValueBytes && !json.Valid(value) {
		writeJSON(w, http.StatusBadRequest, platform.ErrorResponse{Error: "the value is not JSON"})
		return
	}
	newVersion, err := p.memory.Put(r.Context(), mux.Vars(r)["key"], value, version)
	p.respond(w, platform.PutResponse{Version: newVersion}, err)
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := uintParam(w, r, platform.ParamIfVersion)
	if !ok {
		return
	}
	err := p.memory.Delete(r.Context(), mux.Vars(r)["key"], version)
	p.respond(w, struct{}{}, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	objects, err := p.memory.List(r.Context(), r.URL.Query().Get(platform.ParamPrefix))
	p.respond(w, platform.ObjectList{Objects: objects}, err)
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	if name := r.URL.Query().Get(platform.ParamName); name != "" {
		instance, err := p.memory.Instance(r.Context(), name)
		p.respond(w, platform.InstanceList{Instances: []platform.Instance{instance}}, err)
		return
	}
	instances, err := p.memory.Instances(r.Context())
	if err != nil {
		p.respond(w, nil, err)
		return
	}
	writeJSONWithETag(w, r, platform.InstanceList{Instances: instances})
}

// respond writes v or, if err is not nil, the status and message of err. It drops the
// connection if err is platform.ResponseLost.
func (p *Platform) respond(w http.ResponseWriter, v any, err error) {
	status := platform.StatusOf(err)
	switch {
	case platform.ResponseLost.Has(err):
		dropConnection(w)
	case err == nil:
		writeJSON(w, status, v)
	case status == http.StatusNoContent:
		w.WriteHeader(status)
	default:
		writeJSON(w, status, platform.ErrorResponse{Error: err.Error()})
	}
}

func (p *Platform) setInstances(w http.ResponseWriter, r *http.Request) {
	var list platform.InstanceList
	if !readJSON(w, r, &list) {
		return
	}
	p.memory.SetInstances(list.Instances)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f platform.Faults
	if !readJSON(w, r, &f) {
		return
	}
	p.memory.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.memory.Calls())
}

// uintParam returns the value of a numeric query parameter. It responds with status 400
// and returns false if the parameter is not a number.
func uintParam(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	value, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 63)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, platform.ErrorResponse{Error: name + " is not a number"})
		return 0, false
	}
	return value, true
}
