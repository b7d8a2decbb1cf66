"""Admission experiments: simulates many proxies and brokers in virtual time, as a site file describes them.

``python -m bench.admission --help`` lists the options. The proxies run the tier's own ``AdmissionScheduler``,
and batch items are leased from its own ``LeaseTable``; brokers, clients and the network are models. The
program does not use this package.
"""
