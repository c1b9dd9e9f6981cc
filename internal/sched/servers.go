package sched

import (
	"math/bits"

	"github.com/nutmegweir/nutmegweir/internal/model"
)

const (
	speedLevels     = 32         // in the index of free slots
	speedLevelWidth = 0.22314355 // ln 1.25
	middleLevel     = speedLevels / 2
	bucketsPerLevel = 2 // owned slots, borrowed slots
	noBucket        = -1
)

// server is a backend server and this instance's view of its slots.
type server struct {
	Server
	known           bool // in the current list
	class           int  // index of its resource class
	remote          bool // in another failure domain
	owner           model.Instance
	owned           bool
	ownedSlots      int // slots owned by this instance
	lent            int // owned or borrowed slots that are lent to peers
	lender          *peer
	borrowed        int
	busy            int // running starts of this instance
	slowness        slowness
	speedLevel      int
	health          health
	countedFree     int // its contribution to freeIndex.free
	countedLendable int // its contribution to freeIndex.lendable
	countedHeld     int // its contribution to freeIndex.held
	bucket          int // in the free index, noBucket if none
	bucketPos       int
}

// held is the number of slots that this instance may use.
func (v *server) held() int {
	if v.owned {
		return v.ownedSlots - v.lent
	}
	return v.borrowed - v.lent
}

// lendable reports whether the server's slots may be lent: owned ones and
// those borrowed from the owner, so that slots are re-lent at most once.
func (v *server) lendable() bool {
	return v.owned || (v.lender != nil && v.lender.ID == v.owner)
}

// free is the number of slots that could take a start now.
func (v *server) free() int {
	if !v.usable() {
		return 0
	}
	return max(0, v.held()-v.busy)
}

func (v *server) usable() bool {
	return v.known && v.State == ServerActive && v.health.acceptsStarts()
}

// resourceClass groups servers with equal resources.
type resourceClass struct {
	has     model.Resources
	mask    uint64
	buckets [speedLevels * bucketsPerLevel][]*server
	servers int // listed servers that are not gone
}

// freeIndex finds a free slot on the fastest server in constant time.
type freeIndex struct {
	classes  []resourceClass
	free     int // free slots
	lendable int // of these, slots that may be lent to peers
	held     int // slots of usable servers that this instance may use
	minFree  int // lowest value of free since the last reset
}

func (x *freeIndex) class(has model.Resources) int {
	for i := range x.classes {
		if x.classes[i].has == has {
			return i
		}
	}
	x.classes = append(x.classes, resourceClass{has: has})
	return len(x.classes) - 1
}

// update moves a server to the bucket for its current state.
func (x *freeIndex) update(v *server) {
	free := v.free()
	x.free += free - v.countedFree
	v.countedFree = free
	x.minFree = min(x.minFree, x.free)
	lendable := 0
	if v.lendable() {
		lendable = free
	}
	x.lendable += lendable - v.countedLendable
	v.countedLendable = lendable
	held := 0
	if v.usable() {
		held = max(0, v.held())
	}
	x.held += held - v.countedHeld
	v.countedHeld = held
	want := noBucket
	if free > 0 {
		want = v.speedLevel * bucketsPerLevel
		if !v.owned {
			want++
		}
	}
	if want == v.bucket {
		return
	}
	x.remove(v)
	if want != noBucket {
		x.insert(v, want)
	}
}

func (x *freeIndex) insert(v *server, bucket int) {
	c := &x.classes[v.class]
	v.bucket = bucket
	v.bucketPos = len(c.buckets[bucket])
	c.buckets[bucket] = append(c.buckets[bucket], v)
	c.mask |= 1 << bucket
}

func (x *freeIndex) remove(v *server) {
	if v.bucket == noBucket {
		return
	}
	c := &x.classes[v.class]
	list := c.buckets[v.bucket]
	last := len(list) - 1
	list[v.bucketPos] = list[last]
	list[v.bucketPos].bucketPos = v.bucketPos
	list[last] = nil
	c.buckets[v.bucket] = list[:last]
	if last == 0 {
		c.mask &^= 1 << v.bucket
	}
	v.bucket = noBucket
}

// fastest returns the fastest non-empty bucket among the classes that fit the
// needs; ok is false if there is none.
func (x *freeIndex) fastest(needs model.Resources) (list []*server, ok bool) {
	best := speedLevels * bucketsPerLevel
	for i := range x.classes {
		c := &x.classes[i]
		if c.mask == 0 || !needs.Fits(c.has) {
			continue
		}
		if b := bits.TrailingZeros64(c.mask); b < best {
			best = b
			list = c.buckets[b]
		}
	}
	return list, list != nil
}

// anyFits reports whether any known server has the resources. It is true while
// no server is known.
func (x *freeIndex) anyFits(needs model.Resources) bool {
	any := false
	for i := range x.classes {
		c := &x.classes[i]
		if c.servers == 0 {
			continue
		}
		any = true
		if needs.Fits(c.has) {
			return true
		}
	}
	return !any
}

func speedLevelOf(log float64) int {
	return min(speedLevels-1, max(0, middleLevel+int(floor(log/speedLevelWidth+0.5))))
}

func floor(x float64) float64 {
	i := float64(int(x))
	if x < i {
		return i - 1
	}
	return i
}
