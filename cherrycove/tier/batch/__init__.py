"""Runs batch jobs: lists of items that clients submit and that proxies execute when they have free capacity.

The packages, in the order of a job's way from the client to the model broker:

- ``frontend``: the HTTP interface that a proxy serves to clients;
- ``client``: the proxy's calls to the primary of the store group;
- ``store``: the service of a store, which answers those calls;
- ``jobs``: the replicated state of the stores, and the commands that change it;
- ``leasing``: the decisions which proxy runs which item, free of I/O and of a clock;
- ``worker``: the batch work of a proxy, which leases items, runs them and reports their outcomes;
- ``execution``: the interface between the worker and the data plane.
"""
