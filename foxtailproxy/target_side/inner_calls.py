"""Recognition of inner calls, which an upstream makes while it runs a request.

An upstream names an inner call PARENT.CHILD, where PARENT is the attempt id of the request. The
name alone proves nothing, since any caller may choose it: the request must be running at the
upstream beside this node. The result affects the order of calls only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from foxtailproxy.call import MAX_DEPTH

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtailproxy.call import Call

SEPARATOR = "."

IMPATIENT_SENDS = 2
"""Sends of an inner call that wait only as long as its objective can be met."""


def is_inner(call: Call) -> bool:
    """Return whether an upstream makes the call while it runs a request."""
    return call.depth > 1


def waits_for_deadline(call: Call) -> bool:
    """Return whether an inner call waits for a slot up to its deadline, not only its objective.

    It does not at the first targets, since another one may run it sooner. Its loss makes the
    request fail that the upstream runs already, so the later ones keep it as long as it has a use.
    """
    return is_inner(call) and call.send_number >= IMPATIENT_SENDS


def parent_id_of(attempt_id: str) -> str:
    """Return the attempt id that an inner call's id names as its parent; empty if it names none."""
    parent_id, _, child = attempt_id.rpartition(SEPARATOR)
    return parent_id if child else ""


def inner_depth(attempt_id: str, running_calls: Iterable[Call]) -> int:
    """Return the depth of a call that one of the running ones makes; 0 if none of them does."""
    parent_id = parent_id_of(attempt_id)
    if not parent_id:
        return 0
    depths = [call.depth for call in running_calls if call.attempt_id == parent_id]
    return min(MAX_DEPTH, max(depths) + 1) if depths else 0
