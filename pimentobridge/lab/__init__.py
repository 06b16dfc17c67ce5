"""The whole system in one process and virtual time, under injected faults."""
