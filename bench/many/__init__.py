"""Many real brokers on loopback, with links and faults between them, measured from outside."""
