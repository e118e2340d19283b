// Package peer is the exchange between routers: one gRPC stream for each pair
// of routers, which carries batches of messages in both directions.
package peer
