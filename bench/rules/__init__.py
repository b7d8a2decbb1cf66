"""Simulates random deployments with the real decision module and checks the rules of the wire protocol."""
