"""The lifecycle of a broker process: announcement, handover from a predecessor, maintenance state, shutdown.

Two processes of one broker may overlap for some seconds: the one in service (the predecessor) and the one
that replaces it (the successor). The package decides what each may use meanwhile, transports what passes
between them, and holds the timetable of a shutdown. It knows neither HTTP nor NBD, and no scheduling
decision.

Modules: ``announcement`` (sent before the imports), ``state_machine`` (pure), ``messages`` (codec), ``link``
(connection of two processes), ``handover`` (directory, start lock, meeting), ``coordinator`` (drives a
handover), ``maintenance`` (nodes out of service), ``shutdown_timetable`` (pure).
"""
