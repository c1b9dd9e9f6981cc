package fleet

import (
	"hash/fnv"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// maxMeanCellMembers is the most members of a cell on average. Each member of a cell
// hears every other several times a second, which a small instance can do with a
// few dozen.
const maxMeanCellMembers = 48

// cells divides a large fleet: an instance keeps in touch with the members of its
// own cell, takes part in dividing that cell's servers, and offers jobs there.
// Which cell an instance or a server belongs to follows from its name and the
// number of cells, a power of two, so that growth splits each cell.
//
// Instances may differ for a while in how many cells they see. Nothing breaks by
// that, as ownership lies in the store: some servers have more claimants, and a
// member that is met by its messages counts as one.
type cells struct{ count uint64 }

// resize follows the number of members. Cells are joined again only once they
// are small, so that a member that comes and goes changes nothing.
func (c *cells) resize(members int) (changed bool) {
	before := c.count
	c.count = max(c.count, 1)
	for members > maxMeanCellMembers*int(c.count) {
		c.count *= 2
	}
	for c.count > 1 && members*4 < maxMeanCellMembers*int(c.count) {
		c.count /= 2
	}
	return c.count != before
}

// sameCell reports whether two names belong to one cell.
func (c *cells) sameCell(a, b string) bool {
	return c.count <= 1 || nameHash(a)%c.count == nameHash(b)%c.count
}

func nameHash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// otherCellMember is a member of another cell as the store lists it.
type otherCellMember struct {
	incarnation  model.Incarnation
	missingSince Time // since when it is not listed, 0 while it is
}

// ended reports whether a life of a stranger is over. Only the store tells, and
// it may drop entries for a moment.
func (s otherCellMember) ended(life model.Incarnation, now Time) bool {
	return s.incarnation > life || s.incarnation == life && s.missingSince != 0 && now.Sub(s.missingSince) > otherCellTimeout
}
