"""Stand-ins for the external systems: the platform, an upstream, a network relay, callers."""
