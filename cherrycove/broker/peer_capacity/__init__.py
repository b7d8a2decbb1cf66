"""Peer capacity: the brokers of a tier lend each other capacity of nodes in slow start.

``lending`` implements the rules (pure), ``datagram`` the messages and ``exchange`` the socket. Nothing here
decides where or when a request is sent; the scheduler does, with the capacity that it is lent. Lent capacity
and all that other brokers may use together never exceed the limit of a node in slow start. The exchange is
disabled if the settings forbid it.
"""
