"""Sends the proxy's calls to the primary of the store group."""
