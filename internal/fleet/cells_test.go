package fleet

import "testing"

func TestCellCountFollowsFleetSize(t *testing.T) {
	var c cells
	steps := []struct{ members, want int }{
		{0, 1}, {31, 1}, {48, 1}, {49, 2}, {40, 2}, {24, 2}, {23, 1}, {48, 1}, {100, 4}, {300, 8}, {97, 8}, {95, 4}, {1, 1},
	}
	for _, s := range steps {
		c.resize(s.members)
		if int(c.count) != s.want {
			t.Errorf("%d members: %d cells, want %d", s.members, c.count, s.want)
		}
	}
}
