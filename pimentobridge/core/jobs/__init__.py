"""The objects of a job: steps, tasks, their runs, queues and accounts."""
