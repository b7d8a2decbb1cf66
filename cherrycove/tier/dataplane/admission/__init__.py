"""Admission: which held request goes to which model broker, when, and what waits or is refused. Pure."""
