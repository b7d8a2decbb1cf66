"""Primary-backup replication of a log of opaque commands: Raft with leader leases and flexible quorums.

An epoch is what Raft calls a term, and the primary is Raft's leader. A standby is a live replica outside the
group. An incarnation is one run of a replica's process.

``machine.ReplicaMachine`` and the modules that it uses implement the protocol as a pure state machine: its
inputs are messages, the current time and completed writes; its outputs, the ``effects``, are messages, writes
and committed entries. Its modules are ``core`` (state that all roles share), ``log``, ``membership`` and
``group_membership``, ``pending_writes``; ``roles`` with ``elections`` (``candidate``, ``voter``), ``backup``
and ``primary`` (``peer_set``, ``replicator``, ``progress``, ``snapshot_sender``, ``learners``,
``membership_policy``). ``quorums`` contains the proof that no committed entry is lost, ``elections`` the
proof that leases hold; ``docs/design/replication.md`` describes the states.

The runtime connects a replica machine to its process. ``factory.create_group`` builds a
``group.ReplicatedGroup`` from ``options.GroupOptions``; ``recovery`` reads the disk; ``driver`` passes events
to the machine and executes its effects with ``writer`` (disk writes), ``messenger`` (messages, through
``transport`` and ``call_handler``), ``applier`` (the application's state machine) and ``change_notifier``
(listeners and log lines).
"""
