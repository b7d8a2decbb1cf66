"""Holds the replicated state of batch jobs and the commands that change it."""
