"""Peer capacity: one broker borrows and lends capacity of nodes in slow start among the brokers of a tier.

``lending`` holds the rules (pure), ``datagram`` the messages, ``exchange`` the socket. Nothing here decides
where or when a request is sent; the scheduler does, with the capacity that it is lent. What is lent never
passes, with all that others may use, the limit of a node in slow start. Off where the settings forbid it.
"""
