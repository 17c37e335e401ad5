package gatewaydaemon

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// contactTime is the time after which entries in touch know what the others have seen.
const contactTime = 3 * time.Second

// sentRequest is a request of a test and the entry that it is sent to.
type sentRequest struct {
	entry        *entry
	method, path string
	prefix       string
}

// send sends the request.
func (q sentRequest) send(d *deployment) result {
	return d.send(q.entry, q.method, q.path, http.Header{
		"Azurelead-Prompt-Prefix": {q.prefix}, "Azurelead-Token-Usage": {"500,20"}, "Azurelead-Model": {"m"}, "Azurelead-Timeout-Ms": {"60000"},
	})
}

// configureVictims stores a configuration with routes to the service of the endpoints that crash.
func (d *deployment) configureVictims() {
	d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(9,
		[]map[string]any{
			fleettest.Route("look", "/look/", "idempotent", "victims", map[string]any{"timeoutMs": 60000}),
			fleettest.Route("ask", "/stream/ask/", "streaming", "victims", map[string]any{"timeoutMs": 60000, "resumable": true, "sticky": true}),
		},
		[]map[string]any{fleettest.Service("victims"), fleettest.StageService("portal")}, nil))
	for _, e := range d.entries {
		d.eventually("the configuration is in force", func() bool {
			table := e.daemon.table.Load()
			return table != nil && table.Version == 9
		})
	}
}

// listVictim starts an endpoint and waits until every entry knows it as the only one of its service.
func (d *deployment) listVictim(id string, behaviour fleettest.Behaviour) *fleettest.Server {
	d.t.Helper()
	s := fleettest.NewServer(id)
	d.t.Cleanup(s.Close)
	s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour { return behaviour })
	d.store.Put(fleet.KindEndpoints, id, s.EndpointSpec("victims", "north"))
	for _, e := range d.entries {
		d.eventually("the endpoint is known", func() bool {
			list := e.daemon.roster.Endpoints(time.Now(), "victims")
			return len(list) == 1 && list[0].ID == id
		})
	}
	return s
}

// crashUnder crashes an endpoint while it runs those of the requests that are not refused.
func (d *deployment) crashUnder(id string, requests []sentRequest) {
	d.t.Helper()
	s := d.listVictim(id, fleettest.Hang)
	var wg sync.WaitGroup
	var answered atomic.Int64
	for _, q := range requests {
		wg.Go(func() {
			q.send(d)
			answered.Add(1)
		})
	}
	d.eventually("the requests run or are refused", func() bool { return len(s.Runs())+int(answered.Load()) >= len(requests) })
	s.Close()
	wg.Wait()
	d.store.Delete(fleet.KindEndpoints, id)
}

// Sound requests that are asked again and again were refused at every entry because copies of them were in flight
// at engines that a part of other requests' prompts crashed.
func TestRepeatedQuestionIsServedAfterCrashesByAnotherPart(t *testing.T) {
	d := newDeployment(t, 3)
	d.startEndpoints(nil)
	d.waitReady()
	d.configureVictims()
	question := func(e *entry) sentRequest {
		return sentRequest{e, "POST", "/stream/ask/question", "shared:200,own:50"}
	}
	for i := range 5 {
		requests := []sentRequest{{d.entries[i%3], "POST", fmt.Sprint("/stream/ask/bad", i), fmt.Sprintf("shared:200,dead:100,own%d:50", i)}}
		for _, e := range d.entries {
			requests = append(requests, question(e), question(e))
		}
		d.crashUnder(fmt.Sprint("victim-", i), requests)
	}
	time.Sleep(2 * contactTime)
	d.listVictim("sound", fleettest.Serve)
	for i, e := range d.entries {
		if r := question(e).send(d); r.status != http.StatusOK {
			t.Errorf("the sound question at entry %d: %+v", i, r)
		}
		bad := sentRequest{e, "POST", "/stream/ask/bad-again", "shared:200,dead:100,own:50"}
		if r := bad.send(d); r.status != http.StatusServiceUnavailable {
			t.Errorf("a question with the part that crashes engines at entry %d: %+v", i, r)
		}
	}
}

// Requests for one thing were refused at every entry after three endpoints had crashed beside them, although they ran
// to a good end in between and nothing shows that they crash endpoints.
func TestRequestForOneThingIsServedBesideCrashingEndpoints(t *testing.T) {
	d := newDeployment(t, 3)
	d.startEndpoints(nil)
	d.waitReady()
	d.configureVictims()
	thing := func(e *entry) sentRequest { return sentRequest{e, "GET", "/look/thing", ""} }
	for i := range 5 {
		requests := []sentRequest{thing(d.entries[0]), thing(d.entries[1]), thing(d.entries[1]), thing(d.entries[2])}
		d.crashUnder(fmt.Sprint("victim-", i), requests)
		d.listVictim(fmt.Sprint("sound-", i), fleettest.Serve)
		if r := thing(d.entries[0]).send(d); r.status != http.StatusOK {
			t.Fatalf("after %d crashes: %+v", i+1, r)
		}
		d.store.Delete(fleet.KindEndpoints, fmt.Sprint("sound-", i))
	}
	time.Sleep(2 * contactTime)
	d.listVictim("sound", fleettest.Serve)
	for i, e := range d.entries {
		if r := thing(e).send(d); r.status != http.StatusOK {
			t.Errorf("at entry %d: %+v", i, r)
		}
	}
}

// Sound requests of a session were refused at every entry because one of its requests, which was sent again
// unchanged, had crashed three engines before any other of the session was answered.
func TestSessionIsServedAfterOneOfItsRequestsCrashedEngines(t *testing.T) {
	d := newDeployment(t, 2)
	d.startEndpoints(nil)
	d.waitReady()
	d.configureVictims()
	for i := range 4 {
		d.crashUnder(fmt.Sprint("victim-", i), []sentRequest{{d.entries[i%2], "POST", "/stream/ask/bad", "first:200,session:100,own:50"}})
	}
	time.Sleep(2 * contactTime)
	d.listVictim("sound", fleettest.Serve)
	for i, e := range d.entries {
		bad := sentRequest{e, "POST", "/stream/ask/bad", "first:200,session:100,own:50"}
		if r := bad.send(d); r.status != http.StatusServiceUnavailable {
			t.Errorf("the request that crashes engines at entry %d: %+v", i, r)
		}
		sound := sentRequest{e, "POST", "/stream/ask/sound", "first:200,session:100,other:50"}
		if r := sound.send(d); r.status != http.StatusOK {
			t.Errorf("another request of the session at entry %d: %+v", i, r)
		}
	}
}
