"""Daemons of entries and agents: tasks that own their state or a socket."""
