"""The decision log: what was decided on recent requests and why, kept in memory within a limit of bytes.

``codec`` encodes and decodes a request's record; ``ring_buffer`` holds records with indexes by id, volume and
time; ``retries`` correlates a client's retry with its original request; ``bloom_filter`` holds recent ids;
``sketches`` summarizes by minute what no longer fits as records. ``log`` combines them and receives the ended
requests from the core. ``queries`` answers operators' queries, ``formatting`` renders records as sentences
and JSON, ``report`` writes an HTML report, and ``spans`` exports traces; the latter two are imported only
when they are used. The log takes no part in decisions, and every answer says what the log has dropped.
"""
