"""Small stand-ins for the outside systems: the platform, an upstream, a network relay."""
