"""Randomized soak test of real processes under faults, with checks of the guarantees.

A run is `python -m soak --seed N`: nodes, targets and the stand-in of the store as separate
processes, relays between them, callers on keep-alive connections, and a plan of overlapping faults
that depends on the seed alone. The records of callers and targets are checked at the end of the
run.

Callers look at each byte: one that is sent while no request waits, or that is no part of an
answer, is recorded. An answer with a receipt, also a failure, must be the whole answer of a target
that ran the request, with its status; one without is a failure that the node itself writes. An
answer that ends early must end its connection, and may do so only if it is large, its node was
killed or paused, or its caller left. Not checked: answers to HEAD and HTTP/1.0, failures that name
no attempt, whether targets stop when a caller leaves, and the shares of requests that are served.
"""
