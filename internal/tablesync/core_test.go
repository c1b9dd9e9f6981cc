package tablesync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/model"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/table"
)

const second = model.Time(time.Second)

func coreOf(id model.Instance) *Core {
	return New(Options{Self: id, Domain: model.Domain(id[:1]), Domains: []model.Domain{"a", "b"}})
}

func peersOf(ids ...model.Instance) []Peer {
	var list []Peer
	for _, id := range ids {
		list = append(list, Peer{ID: id, Domain: model.Domain(id[:1])})
	}
	return list
}

// history returns edits 1 to n, each of a different row.
func history(n int) []table.Edit {
	var edits []table.Edit
	for i := range n {
		key := table.Key{Customer: model.Customer(fmt.Sprintf("c%d", i)), Domain: "*", Kind: "*"}
		limit := i
		edits = append(edits, table.Edit{Version: uint64(i + 1), ID: "e", Changes: []table.Change{{Key: key, After: &table.Values{Concurrency: &limit}}}})
	}
	return edits
}

func tableOf(edits []table.Edit) *table.Snapshot {
	s, _ := table.Empty().Apply(edits)
	return s
}

// countMessages counts the core's pending messages that match.
func countMessages(c *Core, matches func(OutboundMessage) bool) int {
	n := 0
	for _, s := range c.Ready().Messages {
		if matches(s) {
			n++
		}
	}
	return n
}

func TestOlderTablesAreIgnored(t *testing.T) {
	edits := history(5)
	old := tableOf(edits[:3])
	cases := []struct {
		name string
		feed func(c *Core)
	}{
		{"platform", func(c *Core) { c.WatchSucceeded(old, edits[:3]) }},
		{"own edit", func(c *Core) { c.Install(old, edits[2:3]) }},
		{"full table of a peer", func(c *Core) {
			for _, m := range chunkMessages(old) {
				c.Receive(second, "a2", m)
			}
		}},
		{"edits of a peer", func(c *Core) { c.Receive(second, "a2", editsMessage(edits[:3])) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := coreOf("a1")
			c.SetPeers(0, peersOf("a2"))
			c.WatchSucceeded(tableOf(edits), edits)
			c.Ready()
			tc.feed(c)
			if out := c.Ready(); out.Changed || c.Snapshot().Version() != 5 {
				t.Fatalf("version %d", c.Snapshot().Version())
			}
		})
	}
}

func TestTableInstalledOnlyWithAllChunks(t *testing.T) {
	full := tableOf(history(3*chunkRows - 1))
	messages := chunkMessages(full)
	cases := []struct {
		name      string
		order     []int
		from      []model.Instance // sender of each
		installed bool
	}{
		{"in order", []int{0, 1, 2}, []model.Instance{"b1", "b1", "b1"}, true},
		{"in another order", []int{2, 0, 1}, []model.Instance{"b1", "b1", "b1"}, true},
		{"one duplicated", []int{0, 0, 2}, []model.Instance{"b1", "b1", "b1"}, false},
		{"one missing", []int{0, 2}, []model.Instance{"b1", "b1"}, false},
		{"first missing", []int{1, 2}, []model.Instance{"b1", "b1"}, false},
		{"from two senders", []int{0, 1, 2}, []model.Instance{"b1", "b2", "b1"}, false},
		{"restarted by another sender", []int{0, 1, 0, 1, 2}, []model.Instance{"b1", "b1", "b2", "b2", "b2"}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := coreOf("a1")
			for i, n := range tc.order {
				c.Receive(0, tc.from[i], messages[n])
			}
			if got := c.Snapshot(); (got.Len() == full.Len() && got.Version() == full.Version()) != tc.installed || c.Ready().Changed != tc.installed {
				t.Fatalf("version %d with %d rows", got.Version(), got.Len())
			}
		})
	}
}

func TestEditsArePushedToTheDomain(t *testing.T) {
	c := coreOf("a1")
	c.SetPeers(0, peersOf("a2", "a3", "b1"))
	c.WatchSucceeded(tableOf(history(2)), history(2))
	c.Ready()
	c.WatchSucceeded(tableOf(history(3)), history(3))
	pushed := countMessages(c, func(s OutboundMessage) bool {
		return len(s.Message.GetEdits().GetEdits()) == 1 && s.To != "b1"
	})
	if pushed != 2 {
		t.Fatalf("pushed to %d peers", pushed)
	}
}

// A replacement that lost its table announces its old version once. Peers that
// already list it must reply at once rather than at their next announcement.
func TestOlderPeersGetAReply(t *testing.T) {
	edits := history(3)
	cases := []struct {
		name    string
		version uint64
		replies int
	}{
		{"without a table", 0, 1},
		{"older", 2, 1},
		{"up to date", 3, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := coreOf("a1")
			c.SetPeers(0, peersOf("b1"))
			c.WatchSucceeded(tableOf(edits), edits)
			c.Ready()
			c.Receive(second, "b1", announceMessage(tc.version, "b", false))
			got := countMessages(c, func(s OutboundMessage) bool { return s.To == "b1" && s.Message.GetAnnounce().GetVersion() == 3 })
			if got != tc.replies {
				t.Fatalf("%d replies, want %d", got, tc.replies)
			}
		})
	}
}

func TestFetchIsRepeated(t *testing.T) {
	c := coreOf("a1")
	c.SetPeers(0, peersOf("a2", "b1"))
	c.Ready()
	fetches := func(at model.Time, from model.Instance) int {
		c.Receive(at, from, announceMessage(4, "a", false))
		return countMessages(c, func(s OutboundMessage) bool { return s.Message.GetFetch() != nil })
	}
	if fetches(second, "a2") != 1 || fetches(second, "b1") != 0 || fetches(4*second, "b1") != 1 {
		t.Fatal("want one fetch at a time, and another after the timeout")
	}
}

// A late announcement of an instance's previous incarnation causes a fetch from
// its replacement, which lacks the version. The fetch must then go to another
// peer that has it.
func TestUnansweredFetchGoesToAnotherPeer(t *testing.T) {
	c := coreOf("a1")
	c.SetPeers(0, peersOf("a2", "b1"))
	c.Receive(0, "a2", announceMessage(1, "a", true))
	c.Receive(0, "a2", announceMessage(0, "a", false))
	c.Receive(0, "b1", announceMessage(1, "b", true))
	c.Ready()
	c.Tick(model.Time(fetchTimeout) + second)
	fetches := countMessages(c, func(s OutboundMessage) bool { return s.To == "b1" && s.Message.GetFetch() != nil })
	if fetches != 1 {
		t.Fatalf("%d fetches from b1, want 1", fetches)
	}
}

// TestFewWatch lets the instances of one domain exchange messages.
func TestFewWatch(t *testing.T) {
	cases := []struct {
		name   string
		broken []model.Instance // cannot watch
		want   int              // instances that try
	}{
		{"all healthy", nil, 1},
		{"the first cannot watch", []model.Instance{"a1"}, 2},
		{"none can watch", []model.Instance{"a1", "a2", "a3", "a4"}, 2},
	}
	ids := []model.Instance{"a1", "a2", "a3", "a4"}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cores := make(map[model.Instance]*Core)
			for _, id := range ids {
				cores[id] = coreOf(id)
			}
			for i, id := range ids {
				others := append(append([]model.Instance{}, ids[:i]...), ids[i+1:]...)
				cores[id].SetPeers(second, peersOf(others...))
			}
			var now model.Time
			for now = second; now < 30*second; now += second {
				step(now, ids, cores, tc.broken)
			}
			trying := 0
			for _, id := range ids {
				if cores[id].ShouldWatch(now) {
					trying++
				}
			}
			if trying != tc.want {
				t.Fatalf("%d instances watch, want %d", trying, tc.want)
			}
		})
	}
}

func step(now model.Time, ids []model.Instance, cores map[model.Instance]*Core, broken []model.Instance) {
	for _, id := range ids {
		c := cores[id]
		if c.ShouldWatch(now) && slices.Contains(broken, id) {
			c.WatchFailed()
		} else if c.ShouldWatch(now) {
			c.WatchSucceeded(table.Empty(), nil)
		}
		c.Tick(now)
		for _, s := range c.Ready().Messages {
			cores[s.To].Receive(now, id, s.Message)
		}
	}
}

func TestMessagesOfOtherReleasesAreIgnored(t *testing.T) {
	c := coreOf("a1")
	c.Receive(0, "a2", &peerpb.TableMessage{})
	if out := c.Ready(); out.Changed || len(out.Messages) > 0 {
		t.Fatalf("%+v", out)
	}
}

func TestInForceReportedOncePerDomain(t *testing.T) {
	c := coreOf("a1")
	c.SetPeers(second, peersOf("a2", "b1", "b2"))
	c.WatchSucceeded(tableOf(history(3)), history(3))
	report := func(now model.Time, versions map[model.Instance]uint64) []DomainInForce {
		for id, v := range versions {
			c.Receive(now, id, announceMessage(v, model.Domain(id[:1]), false))
		}
		c.Tick(now)
		return c.Ready().InForce
	}
	if got := report(2*second, map[model.Instance]uint64{"a2": 3, "b1": 3, "b2": 2}); len(got) != 2 || got[0] != (DomainInForce{"a", 3}) || got[1] != (DomainInForce{"b", 2}) {
		t.Fatalf("in force %+v", got)
	}
	if got := report(3*second, map[model.Instance]uint64{"b2": 3}); len(got) != 1 || got[0] != (DomainInForce{"b", 3}) {
		t.Fatalf("in force %+v", got)
	}
	if got := report(4*second, map[model.Instance]uint64{"b1": 0, "b2": 3}); len(got) != 0 {
		t.Fatalf("in force %+v", got)
	}
}

func TestReachOfAPeer(t *testing.T) {
	const known = 100 * second
	cases := []struct {
		name      string
		announced bool // version 0, when it became known
		at        model.Time
		want      Reach
	}{
		{"new, no announcement yet", false, known, ReachPending},
		{"known for long, no announcement", false, known + model.Time(silentAfter), ReachCutOff},
		{"announced", true, known, ReachPending},
		{"announced long ago", true, known + model.Time(silentAfter), ReachCutOff},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := coreOf("a1")
			c.SetPeers(known, peersOf("b1"))
			if tc.announced {
				c.Receive(known, "b1", announceMessage(0, "b", false))
			}
			got := c.Status(tc.at, 1)[1]
			if got.Reach != tc.want {
				t.Fatalf("%s, want %s", got.Reach, tc.want)
			}
		})
	}
}
