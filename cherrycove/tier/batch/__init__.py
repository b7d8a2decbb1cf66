"""Batch jobs: lists of items that clients submit and that proxies run when there is free capacity.

By role, from the client to the model broker and back:

- ``frontend``: the HTTP interface that a proxy serves to clients;
- ``client``: the proxy's calls to the primary of the store group;
- ``store``: the service of a store, which answers those calls;
- ``jobs``: the replicated state of the stores, and the commands that change it;
- ``leasing``: the decisions which proxy runs which item, without input, output or a clock;
- ``worker``: the batch work of a proxy, which leases items, runs them and reports their outcomes;
- ``execution``: the contract between the worker and the data plane.
"""
