"""The durable state of one replica: identity, hard state, a log in segments, and snapshots.

One directory belongs to one replica, and one thread at a time uses it; all calls block. A write is reported
as done only after its fsync, and nothing that fails its checksum is ever returned. ``docs/design/storage.md``
has the file formats byte by byte.

=============  ===========================  ==============================================================
state          file                         after a killed process or a loss of power
=============  ===========================  ==============================================================
member id      ``identity``                 the former one or the new one; an invalid one counts as none
hard state     ``promise``                  the last one written, or the one being written
log            ``NUMBER-FIRSTINDEX.log``    all frames written, and the frame being written or a torn part of
                                            it, which the next start truncates
snapshot       ``snapshot-INDEX``           the last one written, or the one being written, complete
leftovers      ``*.tmp``                    removed at the next start
=============  ===========================  ==============================================================

A killed process leaves in the page cache what it wrote without an fsync, and a later loss of power may take
that away again. Therefore a start syncs what it found before it returns it. Damage of synced data (a flipped
bit, a missing file or segment, a log that is older than the hard state) is found at the next start, which
raises ``errors.DamagedStorageError``: the replica must go on as a new, empty member, since it may have lost a
vote or an entry that it acknowledged.
"""
