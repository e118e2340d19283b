package measure

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const (
	flushInterval = 5 * time.Millisecond
	// messageOverheadBytes is added to the payload of each batch: 40 for
	// TCP/IP, 9 for the HTTP/2 frame and 5 for the gRPC prefix.
	messageOverheadBytes = 40 + 9 + 5
)

// message is a message to another router. The encoded envelope gives its size;
// deliver applies it at the receiver.
type message struct {
	envelope *apiv1.Envelope
	deliver  func(to *router)
}

// routerPair is one direction of a link between two routers.
type routerPair struct{ from, to *router }

// batchQueue holds the messages of one direction until the next flush.
type batchQueue struct {
	messages       []message
	flushedAt      time.Time
	flushScheduled bool
}

// toEnvelope returns an envelope that holds m.
func toEnvelope(m proto.Message) *apiv1.Envelope {
	e := &apiv1.Envelope{}
	fields := e.ProtoReflect().Descriptor().Oneofs().Get(0).Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); f.Message().FullName() == m.ProtoReflect().Descriptor().FullName() {
			e.ProtoReflect().Set(f, protoreflect.ValueOfMessage(m.ProtoReflect()))
		}
	}
	return e
}

// enqueue queues a message. The messages of one direction are sent in batches,
// at most one each flushInterval. A message of a router to itself is delivered
// without a link.
func (f *fleet) enqueue(from, to *router, m message) {
	if from == to {
		f.after(0, func() { m.deliver(to) })
		return
	}
	key := routerPair{from, to}
	c := f.batchQueues[key]
	if c == nil {
		c = &batchQueue{}
		f.batchQueues[key] = c
	}
	c.messages = append(c.messages, m)
	if !c.flushScheduled {
		c.flushScheduled = true
		f.at(c.flushedAt.Add(flushInterval), func() { f.flush(key, c) })
	}
}

// flush sends the queued messages of one direction as a batch. They are lost if
// the routers are not connected, or if the receiver restarts before they
// arrive.
func (f *fleet) flush(key routerPair, c *batchQueue) {
	messages := c.messages
	c.messages, c.flushScheduled, c.flushedAt = nil, false, f.now
	if !f.connected(key.from, key.to) {
		return
	}
	batch := &apiv1.Batch{}
	for _, m := range messages {
		batch.Items = append(batch.Items, m.envelope)
		f.metrics.payloadBytes[m.envelope.ProtoReflect().WhichOneof(m.envelope.ProtoReflect().Descriptor().Oneofs().Get(0)).Name()] += proto.Size(m.envelope)
	}
	f.metrics.sentBytes[key.from.id.Name] += messageOverheadBytes + proto.Size(batch)
	incarnation := key.to.id.Incarnation
	f.after(f.networkDelay(key.from.dc, key.to.dc), func() {
		for _, m := range messages {
			if f.connected(key.from, key.to) && key.to.id.Incarnation == incarnation {
				m.deliver(key.to)
			}
		}
	})
}
