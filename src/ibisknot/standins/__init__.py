"""Stand-ins for outside systems: engines, key-value service, platform."""
