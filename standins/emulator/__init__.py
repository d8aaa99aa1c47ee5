"""Emulator of a fleet in simulated time, without a network, on the node's own decision code."""
