"""The storage broker: real sockets round the decision module finchrack."""
