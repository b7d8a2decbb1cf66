"""The internal protocol of the tier: protobuf messages, calls that carry them, and their transport.

- ``*.proto`` and the modules generated from them (``make protocol``): the messages;
- ``*_methods``: the calls, one module for each ``.proto`` file that defines some;
- ``calls``: the interfaces to make and serve calls, independent of a transport;
- ``rpc``: the transport of calls over HTTP;
- ``sessions``: HTTP client sessions that never retry a request automatically.
"""
