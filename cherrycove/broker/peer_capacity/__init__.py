"""One broker as one of many: what it shares with its peers over the platform's datagrams.

It owns the lending of room on cold nodes: its rules, its datagrams of at most 256 bytes, and the socket
that carries them. It must never decide where or when a request is sent (the module does, with the room it is
lent), and never lend what, with all that others may use, passes the rule on cold nodes. Off where the
settings bar it.
"""
