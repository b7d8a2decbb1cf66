"""HTTP connections of clients, for both programs: framing, and the memory that clients may take."""
