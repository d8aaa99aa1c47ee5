"""Names of the platform's HTTP headers."""

from __future__ import annotations

ATTEMPT_ID = b"x-foxtailproxy-attempt-id"
"""Id of a caller's attempt, chosen by the caller; each retry has another id."""

TIMEOUT_MS = b"x-foxtailproxy-timeout-ms"
"""Time left in milliseconds, relative to the moment the header is sent; not an absolute time."""

SIGNATURE = b"x-foxtailproxy-response-signature"
"""Receipt of a target for one run; it is forwarded unchanged."""

EXPECT_INSTANCE = b"x-foxtailproxy-expect-instance"
"""Id of the target process that is to run the request; another process answers 421."""

BACKEND_LOAD = b"x-foxtailproxy-backend-load"
"""Running requests, waiting requests, slots, and the run time now as a percentage of the usual."""

NOT_EXECUTED = b"x-foxtailproxy-not-executed"
"""Present if the target has not run the request and will not run it."""

CALLER_SERVICE = b"x-foxtailproxy-caller-service"
"""Service of the machine where a request originated, whoever sent it there."""

INSTANCE_ID = b"x-foxtailproxy-instance-id"
"""Id of the target process that answered."""

TENANT = b"x-foxtailproxy-tenant"
"""Customer whose key the caller sent; set by the system, whatever the caller sent."""

COLD_MS = b"x-foxtailproxy-cold-ms"
"""How much longer a target stays cold after its start, in milliseconds, in its health answers."""

AUTHORIZATION = b"authorization"
"""Key of a customer, as `Bearer KEY`."""

STORE_ERA = b"store-era"
"""Number that rises each time the store comes back from an older copy, in all its answers."""

RETRY_AFTER = b"retry-after"
"""Seconds until a retry; may be a fraction."""

NODE_SET_REQUEST_HEADERS = frozenset((ATTEMPT_ID, EXPECT_INSTANCE, CALLER_SERVICE, TIMEOUT_MS))
"""Request headers that the target's node writes or that callers cannot set."""

NODE_ONLY_RESPONSE_HEADERS = frozenset((ATTEMPT_ID, BACKEND_LOAD, INSTANCE_ID))
"""Response headers that the caller's node writes itself or that a caller has no use for."""
