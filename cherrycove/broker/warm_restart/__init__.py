"""Warm restart: what a broker has learned about nodes and volumes, kept for its next process.

``snapshot`` converts it to plain rows and back (pure), ``snapshot_file`` holds them on disk, ``restore``
connects both to the core, ``store`` reads and writes the file at its times. A broker without a usable
snapshot starts as one that knows nothing; nothing here permits what a rule forbids, or touches a disk from
the event loop.
"""
