"""Primary-backup replication of a log of opaque commands.

``machine`` and what it is made of are pure: messages, time and finished writes come in as arguments, and
messages, writes and committed entries go out as ``effects``.

The machine by concern: ``core`` (state that all roles share), ``log``, ``membership`` and
``group_membership``, ``pending_writes``; ``roles`` with ``elections`` (``candidate``, ``voter``), ``backup``
and ``primary`` (``peer_set``, ``replicator``, ``progress``, ``snapshot_sender``, ``learners``,
``membership_policy``). ``quorums`` has the argument why nothing that was committed is lost, ``elections`` the
argument about leases; ``docs/design/replication.md`` has the states.

The runtime connects a machine to its process. ``factory.create_group`` builds a ``group.ReplicatedGroup``
from ``options.GroupOptions``; ``recovery`` reads the disk; ``driver`` feeds events to the machine and carries
out its effects with ``writer`` (disk writes), ``messenger`` (messages, by way of ``transport`` and
``call_handler``), ``applier`` (the state machine) and ``change_notifier`` (listeners and the log).
"""
