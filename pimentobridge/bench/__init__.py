"""Benchmarks, one per module; their bounds come from the requirements."""
