package turnaway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestServerIsAskedOnceAfterItsTime(t *testing.T) {
	table := NewTable()
	if left := table.Record("s", time.Second, at(0)); left != 0 || table.Left("s", at(400)) != 600*time.Millisecond {
		t.Errorf("left %v, then %v", left, table.Left("s", at(400)))
	}
	if table.MayAsk("s", at(999)) || !table.MayAsk("s", at(1000)) || !table.MayAsk("another", at(0)) {
		t.Error("the time is not kept")
	}
	table.Ask("s", at(1000))
	if table.MayAsk("s", at(1001)) {
		t.Error("a second request is assigned beside the first")
	}
	if left := table.Record("s", time.Second, at(1010)); left != 0 || table.MayAsk("s", at(2009)) {
		t.Error("the server is asked within its second time")
	}
	table.Ask("s", at(2010))
	table.Accept("s", at(0), at(2020))
	if table.MayAsk("s", at(2020)) {
		t.Error("an answer to an earlier request ends the wait for the first one")
	}
	table.Accept("s", at(2010), at(2030))
	if !table.MayAsk("s", at(2030)) {
		t.Error("the server is not asked after it has accepted a request")
	}
	if c := table.TakeChanges(); len(c) != 1 || c[0].Server != "s" || len(table.TakeChanges()) != 0 {
		t.Errorf("changes %+v", c)
	}
}

func TestServerIsAskedAgainIfItsFirstRequestIsNotTurnedAway(t *testing.T) {
	for name, end := range map[string]func(*Table){
		"not sent": func(table *Table) { table.Withdraw("s", at(1000)) },
		"silent":   func(*Table) {},
	} {
		table := NewTable()
		table.Record("s", time.Second, at(0))
		table.Ask("s", at(1000))
		end(table)
		if got := table.MayAsk("s", at(1100)); got != (name == "not sent") {
			t.Errorf("%s: may be asked at once: %v", name, got)
		}
		if !table.MayAsk("s", at(1500)) {
			t.Errorf("%s: is not asked later", name)
		}
	}
}

func TestShorterTimeDoesNotReplaceALongerOne(t *testing.T) {
	table := NewTable()
	table.Record("s", 10*time.Second, at(0))
	if left := table.Record("s", time.Second, at(100)); left != 9900*time.Millisecond || table.MayAsk("s", at(9999)) {
		t.Errorf("left %v", left)
	}
}

func TestTableIsBoundedAndKeepsTheLongestTimes(t *testing.T) {
	table := NewTable()
	table.Record("long", time.Hour, at(0))
	for i := range 2 * maxServers {
		table.Record(fmt.Sprint("s", i), time.Minute, at(i))
	}
	if len(table.servers) > maxServers || table.MayAsk("long", at(2*maxServers)) {
		t.Errorf("%d servers, the longest time is kept: %v", len(table.servers), !table.MayAsk("long", at(2*maxServers)))
	}
	table.Sweep(at(0).Add(2 * time.Hour))
	if len(table.servers) != 0 {
		t.Errorf("%d servers after all times", len(table.servers))
	}
	for i := range 2 * maxChanges {
		id := fmt.Sprint("c", i)
		table.Record(id, time.Second, at(0))
		table.Accept(id, at(1000), at(1000))
	}
	if n := len(table.changes); n > maxChanges {
		t.Errorf("%d changes", n)
	}
}

// A server turns away all requests in its times, which follow each other at random.
func TestNoRequestIsAssignedWithinTheTimeOfAServer(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := NewTable()
		var until time.Time
		for ms := 0; ms < 20_000; ms += rng.IntN(30) {
			now := at(ms)
			if rng.IntN(50) == 0 {
				table.Sweep(now)
			}
			if !table.MayAsk("s", now) {
				continue
			}
			if now.Before(until) {
				t.Fatalf("seed %d: a request at %v in a time until %v", seed, now, until)
			}
			table.Ask("s", now)
			if rng.IntN(3) == 0 {
				wait := time.Duration(1+rng.IntN(3000)) * time.Millisecond
				until = now.Add(wait)
				table.Record("s", wait, now)
			}
		}
	}
}
