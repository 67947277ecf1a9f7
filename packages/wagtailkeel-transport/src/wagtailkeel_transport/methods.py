"""The RPC methods between wagtailkeel processes and for the operators' command line."""

from __future__ import annotations

from wagtailkeel_protocol import messages
from wagtailkeel_protocol import raft_messages
from wagtailkeel_protocol import where_messages
from wagtailkeel_transport.rpc_method import RpcMethod

ANNOUNCE: RpcMethod[messages.AnnounceRequest, messages.AnnounceReply] = RpcMethod(
    "Announce", messages.AnnounceRequest, messages.AnnounceReply
)
STOP_AGENT: RpcMethod[messages.StopRequest, messages.AnnounceReply] = RpcMethod(
    "StopAgent", messages.StopRequest, messages.AnnounceReply
)
LEAVE: RpcMethod[messages.LeaveRequest, messages.AnnounceReply] = RpcMethod(
    "Leave", messages.LeaveRequest, messages.AnnounceReply
)
RECORD_SERVER: RpcMethod[messages.RecordServerRequest, messages.AnnounceReply] = RpcMethod(
    "RecordServer", messages.RecordServerRequest, messages.AnnounceReply
)
PULL: RpcMethod[messages.PullRequest, messages.PullReply] = RpcMethod(
    "Pull", messages.PullRequest, messages.PullReply
)
COMMAND: RpcMethod[messages.CommandRequest, messages.CommandReply] = RpcMethod(
    "Command", messages.CommandRequest, messages.CommandReply
)
DUMP: RpcMethod[messages.DumpRequest, messages.DumpReply] = RpcMethod(
    "Dump", messages.DumpRequest, messages.DumpReply
)
WHERE: RpcMethod[where_messages.WhereRequest, where_messages.WhereReply] = RpcMethod(
    "Where", where_messages.WhereRequest, where_messages.WhereReply
)
STATUS: RpcMethod[messages.StatusRequest, messages.StatusReply] = RpcMethod(
    "Status", messages.StatusRequest, messages.StatusReply
)
CONTROL_JOIN: RpcMethod[messages.ControlJoinRequest, messages.ControlJoinReply] = RpcMethod(
    "ControlJoin", messages.ControlJoinRequest, messages.ControlJoinReply
)
FORMATION: RpcMethod[raft_messages.FormationRequest, raft_messages.FormationReply] = RpcMethod(
    "Formation", raft_messages.FormationRequest, raft_messages.FormationReply
)
RAFT: RpcMethod[raft_messages.RaftMessage, raft_messages.RaftMessage] = RpcMethod(
    "Raft", raft_messages.RaftMessage, raft_messages.RaftMessage
)
VOTE_HANDOVER: RpcMethod[raft_messages.VoteHandoverRequest, raft_messages.VoteHandoverReply] = (
    RpcMethod("VoteHandover", raft_messages.VoteHandoverRequest, raft_messages.VoteHandoverReply)
)
