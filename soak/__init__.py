"""Randomized soak of the real programs under faults, with checks of the promises.

A run is `python -m soak --seed N`: nodes, targets and the store's stand-in as separate processes,
relays between them, callers on kept connections, and a plan of overlapping faults that the seed
decides. What callers and targets saw is checked when it ends.
"""
