"""Measurements that are run by hand: ``python -m bench.NAME``.

They are not part of the tests, since a measured figure alone does not pass or fail.
"""
