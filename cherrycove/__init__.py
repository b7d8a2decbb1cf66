"""The storage broker (``broker``, ``scheduling``) and the serving tier (``tier``)."""
