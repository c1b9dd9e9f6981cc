package runtime

import (
	"context"
	"testing"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegweir/nutmegweir/internal/core"
	"github.com/nutmegweir/nutmegweir/internal/peerpb"
	"github.com/nutmegweir/nutmegweir/internal/shard"
)

// BenchmarkEventChannel passes a task completion event over a channel.
func BenchmarkEventChannel(b *testing.B) {
	b.ReportAllocs()
	events := make(chan core.Event, eventQueueSize)
	go func() {
		for range b.N {
			events <- core.TaskDone{TaskDone: shard.TaskDone{}}
		}
	}()
	for range b.N {
		<-events
	}
}

// BenchmarkEventWatermill passes the same event as a watermill message, which
// needs an encoded payload.
func BenchmarkEventWatermill(b *testing.B) {
	b.ReportAllocs()
	bus := gochannel.NewGoChannel(
		gochannel.Config{OutputChannelBuffer: eventQueueSize},
		watermill.NopLogger{},
	)
	defer bus.Close()
	msgs, err := bus.Subscribe(context.Background(), "events")
	if err != nil {
		b.Fatal(err)
	}
	go publishResults(b.N, bus)
	for range b.N {
		m := <-msgs
		res := &peerpb.TaskResult{}
		if err := proto.Unmarshal(m.Payload, res); err != nil {
			b.Error(err)
		}
		m.Ack()
	}
}

func publishResults(n int, bus message.Publisher) {
	for i := range n {
		payload, err := proto.Marshal(&peerpb.TaskResult{Index: uint32(i), Ok: true})
		if err != nil {
			return
		}
		_ = bus.Publish("events", message.NewMessage(watermill.NewUUID(), payload))
	}
}
