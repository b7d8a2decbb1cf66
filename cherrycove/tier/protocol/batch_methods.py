"""The internal calls of batch jobs: from a proxy to the primary of the store group."""

from __future__ import annotations

from cherrycove.tier.protocol import batch_pb2 as pb
from cherrycove.tier.protocol.calls import RpcMethod

SUBMIT = RpcMethod("batch/submit", pb.SubmitRequest, pb.SubmitReply)
READ = RpcMethod("batch/read", pb.ReadRequest, pb.ReadReply)
BODY = RpcMethod("batch/body", pb.BodyRequest, pb.BodyReply)
END = RpcMethod("batch/end", pb.EndRequest, pb.EndReply)
LEASE = RpcMethod("batch/lease", pb.LeaseRequest, pb.LeaseReply)
REPORT = RpcMethod("batch/report", pb.ReportRequest, pb.ReportReply)
