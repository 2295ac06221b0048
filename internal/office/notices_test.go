package office

import (
	"fmt"
	"testing"
	"time"

	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/notice"
	"comethold/internal/numbering"
	"comethold/internal/toll"
	"comethold/internal/trunk"
)

// TestNotices: doubled, early, forged and missing notices change nothing that they should
// not, and healthy ones go on.
func TestNotices(t *testing.T) {
	now := time.Now()
	s := newState(event.Nop(), trunk.NewFrame(trunk.Place{Node: "n"}, nil, event.Nop()), toll.New(toll.Terms{}, now))
	var got []string
	s.onChanged = func(names []string) { got = append(got, fmt.Sprint(names)) }
	tell := func(pos, version, after uint64, tenant string) feed.Notice {
		n, err := notice.New(fmt.Sprint("c/", version), notice.Configuration, version, after, notice.Changed{Tenants: []string{tenant}})
		if err != nil {
			t.Fatal(err)
		}
		return feed.Notice{Pos: pos, Notice: n}
	}
	config := func(version uint64) *feed.Config { return feed.Whole(&numbering.Configuration{Version: version}) }
	want := func(what string, n *feed.News, applied ...string) {
		t.Helper()
		got = nil
		s.take(n)
		if fmt.Sprint(got) != fmt.Sprint(applied) {
			t.Errorf("%s: %v applied, not %v", what, got, applied)
		}
	}
	want("the start: the state stands for all before", &feed.News{Config: config(7),
		Notices: &feed.Notices{Pos: 20, Reset: true, Base: map[string]uint64{notice.Configuration: 7}}})
	want("a notice before its state", &feed.News{Notices: &feed.Notices{Pos: 30, All: []feed.Notice{tell(30, 9, 7, "a")}}})
	want("its state", &feed.News{Config: config(9)}, "[a]")
	want("the same position again", &feed.News{Notices: &feed.Notices{Pos: 30, All: []feed.Notice{tell(30, 9, 7, "a")}}})
	forged, torn := tell(31, 9, 7, "x"), tell(32, 11, 9, "y")
	torn.Notice.Payload = []byte{1}
	want("other content, a torn one, a healthy one", &feed.News{Config: config(11),
		Notices: &feed.Notices{Pos: 33, All: []feed.Notice{forged, torn, tell(33, 11, 9, "b"), tell(33, 11, 9, "b")}}}, "[b]")
	want("one is missing, the state covers it", &feed.News{Config: config(15),
		Notices: &feed.Notices{Pos: 50, All: []feed.Notice{tell(50, 15, 13, "c")}}}, "[c]")
	if s.have().Notice != 50 {
		t.Error("the position told is", s.have().Notice)
	}
}
