package entrydaemon

import (
	"strings"
	"testing"
)

// Check reports all errors of a configuration at once, each with its flag.
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
			t.Errorf("no error about %s in %v", flag, err)
		}
	}
	withoutPlaintext := good
	withoutPlaintext.AllowPlaintext = false
	if withoutPlaintext.Check() == nil {
		t.Error("connections without TLS were allowed without --plain")
	}
}
