"""The serving tier: proxies on frontends, a replicated control plane, stores for batch jobs.

``docs/design/system.md`` describes the programs. Imports go in one direction:
programs -> planes (controlplane, batch, dataplane) -> replication, distribution, membership
-> storage, protocol -> settings, configuration, errors.
"""
