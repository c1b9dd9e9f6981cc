package schedbench

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/sched"
)

func TestDebug(t *testing.T) {
	weights := crestWeights()
	m := NewSim(Today, sched.Mode{}, weights, 1)
	w := &Workload{
		Kinds: shortKinds(), Customers: len(weights), Load: 0.6, Swing: threefold,
		Deadline: deadline, Until: crestEnd,
	}
	m.R.From = virtualZero.Add(crestFrom + crestEdge)
	m.R.Until = virtualZero.Add(crestUntil)
	m.Drive(w)
	for at := crestFrom; at < crestUntil; at += 500 * time.Millisecond {
		m.At(at, func() {
			for _, in := range m.instances {
				s := in.s.Stats()
				fmt.Printf("%5v/%.1f/%d/%d ", s.Shedding, s.ShedLevel, s.Slots, s.Waiting)
			}
			fmt.Println()
		})
	}
	m.Run(60 * time.Second)
	fmt.Println(m.R.Service, m.R.Refused, m.serviceSum()/4800)
}
