"""The durable state of one replica: identity, hard state, a log in segments, and snapshots.

Each replica has its own directory, which one thread at a time uses; all calls block. A write is reported as
done only after its fsync, and data that fails its checksum is never returned. ``docs/design/storage.md``
specifies the file formats byte by byte.

=============  ===========================  ==============================================================
state          file                         after a process crash or a power failure
=============  ===========================  ==============================================================
member id      ``identity``                 the previous one or the new one; an invalid one counts as none
hard state     ``promise``                  the last one written, or the one being written
log            ``NUMBER-FIRSTINDEX.log``    all frames written, and the frame being written or a torn part of
                                            it, which the next start truncates
snapshot       ``snapshot-INDEX``           the last one written, or the one being written, complete
temporary      ``*.tmp``                    removed at the next start
=============  ===========================  ==============================================================

What a killed process wrote without an fsync is still in the page cache, and a later power failure may discard
it. Recovery therefore syncs the files before it returns their contents. Corruption of synced data (a flipped
bit, a missing file or segment, a log that is older than the hard state) is detected at the next start, which
raises ``errors.DamagedStorageError``: the replica must rejoin as a new, empty member, since it may have lost
a vote or an entry that it acknowledged.
"""
