"""Clients of the external systems: the store, backend servers and workers."""
