"""Stand-ins of the outside systems: engines, key-value service, platform."""
