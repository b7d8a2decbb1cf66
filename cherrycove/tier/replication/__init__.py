"""Primary-backup replication of a log of opaque commands.

``machine`` and what it is made of are pure: messages, time and finished writes come in as arguments,
messages, writes and committed entries go out. ``group`` runs a machine with a clock, a writer thread and
internal calls. ``quorums`` holds the argument why nothing that was committed is lost.
"""
