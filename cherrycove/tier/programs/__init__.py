"""The thin binaries: each assembles the libraries of its planes and hands them to the process's life."""
