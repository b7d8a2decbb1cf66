"""Deployments drawn from a seed, played by the decision module in virtual time, held to the wire's rules."""
