"""The lifecycle of a broker process: announcement, handover from a predecessor, maintenance state, shutdown.

Two processes of one broker may overlap for some seconds: the one in service (the predecessor) and the one
that replaces it (the successor). The package decides which resources each may use meanwhile, transfers
listening sockets and state between them, and computes the timetable of a shutdown. It depends on neither HTTP
nor NBD, and makes no scheduling decisions.

Modules: ``announcement`` (sent before the imports), ``state_machine`` (pure), ``messages`` (codec), ``link``
(connection between two processes), ``handover`` (shared directory, start lock, handover protocol),
``coordinator`` (drives a handover), ``maintenance`` (nodes out of service), ``shutdown_timetable`` (pure).
"""
