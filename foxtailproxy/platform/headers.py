"""The platform's headers."""

from __future__ import annotations

ATTEMPT_ID = b"x-foxtailproxy-attempt-id"
"""One try of a consumer, named by the consumer; each of its retries has another id."""

TIMEOUT_MS = b"x-foxtailproxy-timeout-ms"
"""Time left, counted from the moment at which the header is sent; not a moment of the day."""

SIGNATURE = b"x-foxtailproxy-response-signature"
"""A target's receipt for one run; it is passed on as it came."""

EXPECT_INSTANCE = b"x-foxtailproxy-expect-instance"
"""Process id of the target that is to run the request; another one answers 421."""

BACKEND_LOAD = b"x-foxtailproxy-backend-load"
"""Requests running, requests waiting, slots, and how long work takes now (100 is as usual)."""

NOT_EXECUTED = b"x-foxtailproxy-not-executed"
"""Present where the target has not run the request and will not."""

CALLER_SERVICE = b"x-foxtailproxy-caller-service"
"""Service of the machine where a request began, whoever sent it there."""

INSTANCE_ID = b"x-foxtailproxy-instance-id"
"""Process id of the target that answered."""

RETRY_AFTER = b"retry-after"
"""Seconds, which may be a fraction."""

NODE_SET_REQUEST_HEADERS = frozenset((ATTEMPT_ID, EXPECT_INSTANCE, CALLER_SERVICE, TIMEOUT_MS))
"""Headers of a request that the node beside its target writes, or that callers cannot set."""

NODE_ONLY_RESPONSE_HEADERS = frozenset((ATTEMPT_ID, BACKEND_LOAD, INSTANCE_ID))
"""Headers of an answer that the caller's node writes itself or that are of no use to a caller."""
