"""HTTP/1.1: the platform's wire, by concern.

``parse`` is pure: heads, lists and reports in text that anybody may have written. ``body`` takes clients'
bodies and bounds what they hold in memory, ``upstream`` asks disk nodes, ``server`` answers clients,
``watch`` follows discovery. Imports run from the last of these to the first. The package must never decide
anything about a request that is well formed, send one twice by itself, answer 200 with anything but a node's
whole 200 body, or use a connection again on which an answer is still to come.
"""
