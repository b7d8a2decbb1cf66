"""The data plane of a proxy: forwards live requests and batch items to model brokers."""

from cherrycove.tier.dataplane.data_plane import DataPlane

__all__ = ["DataPlane"]
