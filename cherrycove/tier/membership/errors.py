"""Errors of the membership protocol."""


class MembershipError(Exception):
    """Base class of all errors that this package raises."""


class InvalidMessageError(MembershipError, ValueError):
    """Raised for a datagram, request or reply that no correct process of the tier sends."""
