"""HTTP listeners of the daemons: connections, framing of requests, and the memory that clients may take."""
