"""Soak test of the serving tier: real processes under overlapping faults, restarts and changes.

``python -m bench.soak --help`` lists the options. Clients use each connection until the process at its other
end has exited; at the end of a run everything that was acknowledged is read back. The checks are in
``ledger.py``, in the clients and in ``run.py``.
"""
