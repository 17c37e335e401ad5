package entrydaemon

import (
	"strings"
	"testing"
)

// All the faults of a configuration are reported at once, each by its flag.
func TestCheckReportsEveryFault(t *testing.T) {
	good := Config{
		Listen: "127.0.0.1:0", OperatorsAddress: "127.0.0.1:0", Platform: "http://127.0.0.1:9000",
		Name: "entry-1", DataCentre: "north", AllowPlaintext: true, Chooser: "finish-time", SubsetSize: 4,
	}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	bad := Config{Listen: "localhost:80", OperatorsAddress: "x", Platform: "ftp://x", OTLP: ":", Name: strings.Repeat("n", 200), LinkCert: "c", Chooser: "best"}
	err := bad.Check()
	for _, flag := range []string{"--listen", "--operators", "--platform", "--otlp", "--name", "--data-centre", "--tls-cert", "--link-cert", "--chooser", "--subset"} {
		if err == nil || !strings.Contains(err.Error(), flag) {
			t.Errorf("no fault of %s in %v", flag, err)
		}
	}
	plain := good
	plain.AllowPlaintext = false
	if plain.Check() == nil {
		t.Error("plain connections were allowed without --plain")
	}
}
