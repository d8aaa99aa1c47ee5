"""A load balancer for servers whose load changes within milliseconds."""

__version__ = "0.1.0"
