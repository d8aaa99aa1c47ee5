"""Demonstration: a small fleet under load in which one upstream is killed."""
