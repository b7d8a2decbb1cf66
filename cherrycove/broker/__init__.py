"""The storage broker: sockets, configuration and operators' calls around ``cherrycove.scheduling``."""
