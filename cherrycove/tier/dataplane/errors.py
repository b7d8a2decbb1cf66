"""The base class of the data plane's errors."""

from __future__ import annotations


class DataPlaneError(Exception):
    """An exchange with a client or a broker failed; each subclass says which of them caused it."""
