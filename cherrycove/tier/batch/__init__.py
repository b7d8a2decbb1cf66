"""Batch jobs: submission, storage, leasing to proxies and execution."""
