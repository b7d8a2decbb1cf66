"""The platform's protocols over HTTP/1.1: requests of clients, exchanges with disk nodes, discovery.

``parse`` is pure and parses request heads, node lists and load reports from untrusted text. ``body`` reads
clients' bodies and limits their memory, ``upstream`` sends requests to disk nodes, ``server`` responds to
clients, ``watch`` follows discovery. Each module may import only those named before it. The package must
never decide anything about a well-formed request, send one twice by itself, respond 200 with anything but a
node's complete 200 body, or reuse a connection on which a response is still to come.
"""
