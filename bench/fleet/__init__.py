"""The real decision module as many hosts against modelled nodes, in virtual time: ``python -m bench.fleet``.

It owns a model, not measurements. It must never be believed where the kit's benches show a thing.
"""
