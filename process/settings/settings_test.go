package settings

import (
	"strings"
	"testing"
)

func validEntry() Entry {
	return Entry{
		Common: Common{
			Name: "entry-1", Zone: "z1", Region: "r1",
			Entries: "entry-1=127.0.0.1:7001,entry-2=127.0.0.1:7002", LogLevel: "info",
		},
		Listen:     "127.0.0.1:8001",
		PeerListen: "127.0.0.1:7001",
		Bootstrap:  "entry-1,entry-2",
		Data:       "data",
		Folder:     "folder",
	}
}

func TestValidSettingsPass(t *testing.T) {
	e := validEntry()
	if err := e.Validate(); err != nil {
		t.Fatal(err)
	}
}

func TestEveryProblemIsReportedAtOnce(t *testing.T) {
	e := Entry{Common: Common{Name: "Not A Name", Entries: "x", LogLevel: "loud"}, Listen: "localhost:1", PeerListen: "127.0.0.1:0", Folder: "f", DrainGrace: -1}
	err := e.Validate()
	if err == nil {
		t.Fatal("invalid settings passed")
	}
	for _, flag := range []string{"--name", "--zone", "--region", "--entries", "--log-level", "--listen", "--peer-listen", "--folder", "--drain-grace"} {
		if !strings.Contains(err.Error(), flag) {
			t.Errorf("%s is not reported in:\n%v", flag, err)
		}
	}
}

func TestBootstrapNamesMustBeEntries(t *testing.T) {
	e := validEntry()
	e.Bootstrap = "entry-1,entry-9"
	if err := e.Validate(); err == nil || !strings.Contains(err.Error(), "entry-9") {
		t.Errorf("got %v", err)
	}
}

func TestAgentNeedsSpoolUnlessPlain(t *testing.T) {
	a := Agent{Common: validEntry().Common, Listen: "127.0.0.1:1", Backend: "127.0.0.1:2", Service: "desk"}
	if err := a.Validate(); err == nil || !strings.Contains(err.Error(), "--spool") {
		t.Errorf("got %v", err)
	}
	a.Plain = true
	if err := a.Validate(); err != nil {
		t.Error(err)
	}
}

func TestDuplicateEntryIsRejected(t *testing.T) {
	if _, err := ParseTargets("a=127.0.0.1:1,a=127.0.0.1:2"); err == nil {
		t.Error("duplicate entry was accepted")
	}
}
