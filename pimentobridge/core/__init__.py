"""Decision logic without sockets, wall-clock time or global randomness."""
