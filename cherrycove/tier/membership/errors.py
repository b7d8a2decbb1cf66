"""Errors of the membership protocol."""


class MembershipError(Exception):
    """Base of all errors that this package raises."""


class InvalidMessageError(MembershipError, ValueError):
    """The sender's fault: no correct process of the tier sends such a datagram, request or reply."""
