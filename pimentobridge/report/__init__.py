"""Generated pages: service levels, capacity and the settings reference."""
