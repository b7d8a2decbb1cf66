"""The internal protocol: protobuf messages (``*.proto``, generated ``*_pb2.py``) and the calls that carry them.

``make protocol`` generates the modules anew; the results are committed.
"""
