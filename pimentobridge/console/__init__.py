"""Web console in which operators edit and apply the configuration."""
