"""Data model of jobs: steps, tasks, runs, queues and client accounts."""
