package frontend

import (
	"strings"
	"testing"
	"time"
)

func TestEntryLeavesAControlProcessThatHasStopped(t *testing.T) {
	f := newFleet(t, 240, 1, 1, engineBehavior{downFor: time.Second})
	f.stopControl[0]()
	lost := "msg=\"link lost\" process=" + f.entries[0].ip + " peer=" + testIP(f.net) + ":"
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(f.log.matching(lost), lost); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the link of the entry is still open")
		}
	}
}
