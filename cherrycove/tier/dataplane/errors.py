"""The base of the data plane's errors."""

from __future__ import annotations


class DataPlaneError(Exception):
    """An exchange with a client or a broker went wrong; each subclass says whose fault that is."""
