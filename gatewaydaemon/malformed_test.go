package gatewaydaemon

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// A malformed object among those of the endpoints kept all entries from following the list. It must name no
// endpoint, and requests must be served and later changes take effect at every entry: at those that
// watch the store, at one that is cut off from it, and at one that starts and lists it.
func TestMalformedEndpointObjects(t *testing.T) {
	d := newDeployment(t, 3)
	api1, api2, _, _, _ := d.startEndpoints(nil)
	d.waitReady()
	// awaitState waits until every entry is linked to all others and knows the usable endpoints of a service.
	awaitState := func(api, malformed int) {
		t.Helper()
		for _, e := range d.entries {
			d.eventually("the entry follows the list", func() bool {
				known := e.daemon.roster.Endpoints(time.Now(), "api")
				return len(e.daemon.mesh.LivePeers()) == len(d.entries)-1 && len(known) == api && e.daemon.malformedEndpoints.Load() == int64(malformed)
			})
		}
	}
	awaitState(2, 0)
	d.entries[2].daemon.store.SetAddress(fleettest.FreeAddress())
	// This ends the watch that began before. From here on that entry learns changes from the others.
	d.store.Put(fleet.KindEndpoints, "further", api1.EndpointSpec("api", "north"))
	awaitState(3, 0)
	d.store.Delete(fleet.KindEndpoints, "further")
	awaitState(2, 0)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, e := range d.entries {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				if r := d.send(e, "GET", "/look/x", nil); r.status != http.StatusOK {
					t.Errorf("%+v", r)
				}
			}
		})
	}
	valid := api2.EndpointSpec("api", "north")
	specs := fleettest.MalformedSpecs(valid)
	odd := 0
	for _, spec := range specs {
		odd++
		d.store.PutRaw(fleet.KindEndpoints, fmt.Sprint("odd-", odd), spec)
	}
	awaitState(2, odd)
	for _, inUse := range []string{"nested in lists", "slots too large", `address "127.0.0.1:65536"`} {
		d.store.PutRaw(fleet.KindEndpoints, api2.ID, specs[inUse])
		awaitState(1, odd+1)
		d.store.Put(fleet.KindEndpoints, api2.ID, valid)
		awaitState(2, odd)
	}
	close(stop)
	clients.Wait()
	late := d.startEntry()
	d.waitReady()
	awaitState(2, odd)
	if r := d.send(late, "GET", "/look/x", nil); r.status != http.StatusOK {
		t.Errorf("%+v", r)
	}
}

// An entry's malformed object was logged each time that the entries were listed. It names no entry, and is
// logged once for each of its revisions.
func TestMalformedEntryIsLoggedOnce(t *testing.T) {
	logged := &countingHandler{}
	d := &daemon{logger: slog.New(logged)}
	objects := []fleet.Object{
		{Name: "entry-1", Revision: 1, Spec: []byte(`{"address":"127.0.0.1:80","data_centre":"north","cpu":0.3}`)},
		{Name: "odd", Revision: 2, Spec: []byte(`{"address":"10.0.0.2:65536","data_centre":"north","cpu":1e300}`)},
	}
	for revision := range int64(3) {
		objects[1].Revision = 2 + revision
		for range 2 {
			if members := d.decodeMembers(fleet.Changes{Objects: objects, Unidentified: []error{errors.New("no name")}}); len(members) != 1 || members[0].Name != "entry-1" {
				t.Errorf("the members are %+v", members)
			}
		}
	}
	if logged.records != 3+1 {
		t.Errorf("%d records for 3 revisions of an object and one without a name", logged.records)
	}
}
