package measure

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const (
	flushInterval = 5 * time.Millisecond
	// framing is the cost of one message besides its payload: TCP/IP,
	// HTTP/2 frame and gRPC prefix.
	framing = 40 + 9 + 5
)

// message is one item for another router: its encoded form gives the size.
type message struct {
	env     *apiv1.Envelope
	deliver func(to *router)
}

type route struct{ from, to *router }

type channel struct {
	items   []message
	flushed time.Time
	waiting bool
}

// wrap puts a message into an envelope.
func wrap(m proto.Message) *apiv1.Envelope {
	e := &apiv1.Envelope{}
	fields := e.ProtoReflect().Descriptor().Oneofs().Get(0).Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); f.Message().FullName() == m.ProtoReflect().Descriptor().FullName() {
			e.ProtoReflect().Set(f, protoreflect.ValueOfMessage(m.ProtoReflect()))
		}
	}
	return e
}

// send queues a message. Messages of one direction leave in batches, at most
// every flushInterval; a router talks to itself without a link.
func (f *fleet) send(from, to *router, m message) {
	if from == to {
		f.after(0, func() { m.deliver(to) })
		return
	}
	key := route{from, to}
	c := f.channels[key]
	if c == nil {
		c = &channel{}
		f.channels[key] = c
	}
	c.items = append(c.items, m)
	if !c.waiting {
		c.waiting = true
		f.at(c.flushed.Add(flushInterval), func() { f.flush(key, c) })
	}
}

func (f *fleet) flush(key route, c *channel) {
	items := c.items
	c.items, c.waiting, c.flushed = nil, false, f.now
	if !f.linked(key.from, key.to) {
		return
	}
	batch := &apiv1.Batch{}
	for _, m := range items {
		batch.Items = append(batch.Items, m.env)
		f.m.kinds[m.env.ProtoReflect().WhichOneof(m.env.ProtoReflect().Descriptor().Oneofs().Get(0)).Name()] += proto.Size(m.env)
	}
	f.m.bytes[key.from.id.Name] += framing + proto.Size(batch)
	boot := key.to.id.Incarnation
	f.after(f.delay(key.from.dc, key.to.dc), func() {
		for _, m := range items {
			if f.linked(key.from, key.to) && key.to.id.Incarnation == boot {
				m.deliver(key.to)
			}
		}
	})
}
