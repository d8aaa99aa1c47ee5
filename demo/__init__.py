"""The demonstration: a small fleet under load that loses an upstream."""
