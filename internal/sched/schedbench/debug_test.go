package schedbench

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegweir/nutmegweir/internal/sched"
)

func TestDebug(t *testing.T) {
	for _, load := range []float64{0.6, 0.9} {
		m := NewSim(Today, sched.Mode{}, Weights{}, 1)
		w := mixed(load)
		m.Drive(w)
		c := map[string]int{}
		for at := warmUp; at < 30*time.Second; at += 10 * time.Millisecond {
			m.At(at, func() {
				free := 0
				for _, v := range m.servers {
					free += v.Slots - v.running
				}
				c["free"] += free
				c["n"]++
				if load > 0.8 && at%(2*time.Second) == 0 {
					for _, in := range m.instances {
						fmt.Printf("%+v\n", in.s.Stats())
					}
					fmt.Println()
				}
				for _, j := range m.jobs {
					e := j.inst.s.Explain(m.Now, j.Handle)
					if e.Waiting > 0 {
						c[fmt.Sprintf("wait%d long=%v reallylong=%v", e.Wait, e.LongWork, j.long)] += e.Waiting
					}
				}
			})
		}
		m.Run(30 * time.Second)
		fmt.Println(load, c)
	}
}
