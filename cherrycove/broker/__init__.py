"""The storage broker: serves clients over HTTP and NBD, with ``cherrycove.scheduling`` as its scheduler."""
