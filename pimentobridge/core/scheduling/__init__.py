"""Scheduling decisions: ranking, placement and preemption of jobs."""
