"""The decision log: what was decided on recent requests and why, kept in memory within a limit of bytes.

``pack`` is the codec of a request's record; ``ring`` a ring buffer of records with indexes by id, volume and
time; ``retries`` correlates a client's retry with its first attempt; ``seen`` is a Bloom filter of recent
ids; ``sketches`` holds summaries of what no longer fits. ``book`` combines them and receives the ended
requests from the core. ``ask`` answers queries, ``words`` puts records into sentences, ``report`` writes an
HTML report, and ``spans`` exports traces. ``report`` and ``spans`` are imported only where they are asked
for. The log decides nothing about a request, and every answer says what it no longer knows.
"""
