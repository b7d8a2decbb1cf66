"""Experiments with admission: many proxies and brokers in virtual time, with the figures of a site file.

``python -m bench.admission --help``. The proxies run the tier's own ``AdmissionScheduler``, the batch items
are leased by its own ``LeaseTable``; brokers, clients and the network are models. The program reads nothing
of this package.
"""
