"""The serving tier: proxies on frontends, a replicated control plane, stores for batch jobs.

``docs/design/system.md`` lays the programs out. Imports go one way: programs -> planes (controlplane, batch,
dataplane) -> replication, distribution, membership -> storage, protocol -> settings, configuration, errors.
"""
