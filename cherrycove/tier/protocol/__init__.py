"""The internal protocol of the tier: protobuf messages, calls that carry them, and their transport.

- ``*.proto`` and the modules generated from them (``make protocol``): the messages;
- ``*_methods``: the calls, one module for each ``.proto`` file that has some;
- ``calls``: what a call is, for those who make and serve it;
- ``rpc``: the transport of calls over HTTP;
- ``sessions``: HTTP client sessions that never send a request twice by themselves.
"""
