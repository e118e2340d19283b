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

// received is a message and the address that answers go to.
type received struct {
	message raft.Message
	address string
}

type raftServer struct {
	apiv1.UnimplementedRaftServer
	apiv1.UnimplementedRaftIdentityServer
	replica *Replica
}

// Register adds the services for the other members to the server. The server
// should be made with ServerOptions.
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
			return status.Error(codes.InvalidArgument, "raft message does not parse")
		}
		select {
		case s.replica.inbox <- received{m, address}:
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
