"""Why it went there: what was decided on recent requests, kept within a bound of bytes, and told when asked.

``codes`` names what the core and the fronts decide by themselves; ``pack`` turns one request's story into
bytes and back; ``ring`` holds such bytes and finds them again; ``retries`` joins a client's retry to its
first try; ``sketches`` counts what no longer fits; ``book`` is all of these together, fed by the core;
``words`` makes sentences; ``ask`` takes questions. ``report`` and ``spans`` write files and are imported
only where they are asked for. The package must never decide anything about a request, never hold more than
its bound, and never tell what it does not know.
"""
