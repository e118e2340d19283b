package replica

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/raft"
)

// receivedMessage is a message and the address of its sender, "" if the message
// carried none.
type receivedMessage struct {
	message raft.Message
	address string
}

type raftServer struct {
	apiv1.UnimplementedRaftServer
	apiv1.UnimplementedRaftIdentityServer
	replica *Replica
}

// Register registers the gRPC services for the other members. The server should
// be created with ServerOptions.
func (r *Replica) Register(s *grpc.Server) {
	server := &raftServer{replica: r}
	apiv1.RegisterRaftServer(s, server)
	apiv1.RegisterRaftIdentityServer(s, server)
}

// Messages implements the Raft service.
func (s *raftServer) Messages(stream grpc.ClientStreamingServer[apiv1.RaftEnvelope, apiv1.RaftAck]) error {
	for {
		e, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&apiv1.RaftAck{})
		}
		if err != nil {
			return err
		}
		m, address, err := decodeMessage(e.Message)
		if err != nil {
			return status.Error(codes.InvalidArgument, "raft message cannot be decoded")
		}
		select {
		case s.replica.inbox <- receivedMessage{m, address}:
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-s.replica.done:
			return status.Error(codes.Unavailable, "control host is stopping")
		}
	}
}

// Identify implements the RaftIdentity service.
func (s *raftServer) Identify(context.Context, *apiv1.IdentifyRequest) (*apiv1.IdentifyResponse, error) {
	st := s.replica.Status()
	return &apiv1.IdentifyResponse{Id: st.ID, Identity: st.Identity, IsNew: st.IsNew}, nil
}
