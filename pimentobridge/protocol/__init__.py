"""Messages between the system's processes, their encoding and transport."""
