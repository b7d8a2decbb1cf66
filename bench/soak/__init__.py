"""Soak of the serving tier: real processes under overlapping series of signals, restarts and changes.

``python -m bench.soak --help``. Clients use each open connection until its process is gone; at the end of a
run all that was acknowledged is read back. What is checked: ``ledger.py``, the clients and ``run.py``.
"""
