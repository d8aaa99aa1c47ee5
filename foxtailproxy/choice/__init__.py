"""Decisions about calls under load, as code without a network."""
