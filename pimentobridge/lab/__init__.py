"""Fault-injection tests of the whole system, simulated or as processes."""
