"""Randomized soak test of real processes under faults, with checks of the guarantees.

A run is `python -m soak --seed N`: nodes, targets and the stand-in of the store as separate
processes, relays between them, callers on keep-alive connections, and a plan of overlapping faults
that depends on the seed alone. The records of callers and targets are checked at the end of the
run.
"""
