"""Durable state of one replica: identity, promised epoch, a log in segments and snapshots beside it.

Everything here blocks on the disk and is meant for one writer thread. Nothing is reported as done before it
is synced, and nothing that fails its checksum is ever handed out.
"""
