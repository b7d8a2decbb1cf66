"""The daemons: each module assembles the components of one program; ``process`` runs it until a signal."""
