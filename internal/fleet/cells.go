package fleet

import (
	"hash/fnv"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

// maxMeanCellMembers limits the mean number of members of a cell. Each member of a cell
// receives heartbeats from every other several times a second, which a small instance
// can handle for a few dozen.
const maxMeanCellMembers = 48

// cells partitions a large fleet: an instance connects only to members of its own cell,
// claims servers of that cell and offers jobs there. The cell of an instance or a
// server is determined by a hash of its name and the number of cells, a power of two,
// so that growth splits each cell.
//
// Instances may temporarily disagree on the number of cells. This is harmless, as
// ownership is decided by the store: some servers have more claimants, and a member
// that connects counts as a member of the cell.
type cells struct{ count uint64 }

// resize adapts to the number of members. Cells are merged only once they are small, so
// that a single member joining and leaving doesn't flip the count.
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

// sameCell reports whether two names belong to the same cell.
func (c *cells) sameCell(a, b string) bool {
	return c.count <= 1 || nameHash(a)%c.count == nameHash(b)%c.count
}

func nameHash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// otherCellMember is a member of another cell as listed in the store.
type otherCellMember struct {
	incarnation  model.Incarnation
	missingSince Time // when it was first found missing, 0 while it is listed
}

// ended reports whether an incarnation of the member has ended. The store is the only
// source, and it may drop entries briefly.
func (o otherCellMember) ended(incarnation model.Incarnation, now Time) bool {
	return o.incarnation > incarnation || o.incarnation == incarnation && o.missingSince != 0 && now.Sub(o.missingSince) > otherCellTimeout
}
