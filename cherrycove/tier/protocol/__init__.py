"""The internal protocol: protobuf messages (``*.proto``, generated ``*_pb2.py``) and their calls.

``make protocol`` generates the modules anew; the results are committed.
"""
