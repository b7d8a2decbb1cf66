"""The daemons: each module assembles the parts of one program, and ``process`` runs it until a signal."""
