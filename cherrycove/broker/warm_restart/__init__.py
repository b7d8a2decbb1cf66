"""Warm restart: a broker's next process restores what this one has learned about nodes and volumes.

``snapshot`` converts this state to plain rows and back (pure), ``snapshot_file`` reads and writes the file,
``restore`` takes snapshots of the core and restores them, and ``store`` schedules reading and writing. A
broker without a usable snapshot starts without prior state. Nothing here permits what a rule forbids, or
accesses a disk from the event loop.
"""
