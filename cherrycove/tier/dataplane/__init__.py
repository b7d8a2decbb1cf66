"""The data plane of a proxy: live requests and batch items between clients, admission and model brokers."""

from cherrycove.tier.dataplane.data_plane import DataPlane

__all__ = ["DataPlane"]
