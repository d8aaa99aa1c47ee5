"""Claims on idempotency keys, which limit each key to one dispatch.

A claim is an object that a node creates in the platform's store by a conditional write before it
dispatches the call. Of two claims of one key only one succeeds, however long the node of the other
was paused. The node that holds a claim keeps the outcome in memory for later requests with the
same key.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import structlog
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred, gatherResults

from foxtailproxy.call import Call, new_id
from foxtailproxy.http.errors import HttpError
from foxtailproxy.models.messages import ClaimRecord
from foxtailproxy.outcome import NotRun, NotRunReason, Outcome, Unknown, UnknownReason
from foxtailproxy.runs import RunTable, SharedRun
from foxtailproxy.storage.store_era import StoreEra
from foxtailproxy.store import Conflict, Missing, StoredObject

if TYPE_CHECKING:
    from foxtailproxy.clock import Clock
    from foxtailproxy.models.messages import MemberRecord
    from foxtailproxy.models.settings import LimitsSection
    from foxtailproxy.peer_client import PeerClient
    from foxtailproxy.store import Store, StoreFailure

log = structlog.get_logger()

MAX_CLAIM_ATTEMPTS = 3
"""Maximum number of claims tried for one call while others claim and release the same key."""

CLAIM_REWRITE_MS = 60_000
"""Age up to which a claim is written again after the store has come back from an older copy, which
is some seconds old."""

REWRITES_AT_ONCE = 16
"""Claims that are written again at the same time, each on a connection of its own."""

CLAIM_RETENTION_MS = 600_000
"""Time for which the holder of a claim keeps its outcome without the answer, in milliseconds."""


@dataclass(frozen=True, slots=True)
class Claim:
    """The right of this node to dispatch the call of one key."""

    path: str
    version: int
    run: SharedRun
    value: str
    rises: int
    """Rises of the store's era that were known when it was written."""


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """The value of a claim in the store, and the time until which it is written again."""

    value: str
    until_ms: float


@dataclass(frozen=True, slots=True)
class KeyHeld:
    """A key that another call holds; `stored` is that call's claim."""

    stored: StoredObject
    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class KeyReleased:
    """A key whose last holder did not run and has just removed its claim."""


ClaimFailure = KeyHeld | KeyReleased | NotRun | Unknown


class Claims:
    """This node's access to claims: acquisition, release and look-up."""

    def __init__(
        self,
        clock: Clock,
        limits: LimitsSection,
        store: Store,
        peers: PeerClient,
        local_member: MemberRecord,
        era: StoreEra | None = None,
    ) -> None:
        self.runs = RunTable(clock, limits.kept_answer_bytes, limits.kept_answer_ms)
        self._clock = clock
        self._limits = limits
        self._store = store
        self._peers = peers
        self._local_member = local_member
        self._era = era or StoreEra(clock)
        self._era.add_listener(self._rewrite)
        self._held_by_path: dict[str, HeldClaim] = {}

    async def acquire(self, call: Call) -> Result[Claim, Outcome]:
        """Claim the key of a call.

        Fails with the outcome to return to the caller: that of the call that holds the key, or a
        rejection.
        """
        path = claim_path(call)
        version: int | None = None
        rises = self._era.rises
        if not self._is_trusted(rises):
            return Error(Error(self._untrusted(None, call)))
        for _ in range(MAX_CLAIM_ATTEMPTS):
            claimed = await self._write_claim(path, call, version)
            if not self._is_trusted(rises):
                return Error(Error(self._untrusted(claimed, call)))
            if claimed.is_ok():
                self._hold(claimed.ok)
                return Ok(claimed.ok)
            failure = claimed.error
            if isinstance(failure, KeyReleased):
                version = None
                continue
            if not isinstance(failure, KeyHeld):
                return Error(Error(failure))
            outcome = await self._query_holder(failure, call)
            if not _holder_never_runs(outcome):
                return Error(outcome)
            version = failure.stored.version
        return Error(Error(Unknown(UnknownReason.CLAIMED_ELSEWHERE)))

    async def complete(self, claim: Claim, outcome: Outcome) -> None:
        """Keep the outcome of a claimed call; release the key if the call did not run."""
        await claim.run.complete(outcome, self._limits.replay_bytes)
        if outcome.is_error() and isinstance(outcome.error, NotRun):
            self._held_by_path.pop(claim.path, None)
            if claim.rises == self._era.rises:
                await self._store.delete(claim.path, claim.version)
            # Otherwise the version may be that of another claim. This one stays, if the store still
            # has it, and tells those who ask that its call never runs.

    # Restore of the store

    def _is_trusted(self, rises: int) -> bool:
        """Return whether a claim that was begun after `rises` of the era is the only one.

        For the grace time after a rise it may not be: the store may have lost that of a call that
        runs, whose holder writes it again in that time.
        """
        return rises == self._era.rises and not self._era.rise_grace_left_ms

    def _untrusted(
        self, claimed: Result[Claim, ClaimFailure] | None, call: Call
    ) -> NotRun | Unknown:
        """Give up a claim that the store may have granted twice; its call is never dispatched."""
        if claimed is not None and claimed.is_ok():
            claimed.ok.run.fail(NotRun(NotRunReason.SEALED))
        log.warning("claim_not_trusted", attempt=call.attempt_id, era=self._era.number)
        retry_after_ms = round(self._era.rise_grace_left_ms)
        rejection = NotRun(NotRunReason.PLATFORM_DOWN, retry_after_ms)
        return unchecked_key_failure(call.first_send, rejection)

    def _hold(self, claim: Claim) -> None:
        """Keep a claim for a while, to write it again if the store loses it."""
        now_ms = self._clock.now_ms()
        for path, held in list(self._held_by_path.items()):
            if held.until_ms > now_ms:
                break
            del self._held_by_path[path]
        self._held_by_path.pop(claim.path, None)
        self._held_by_path[claim.path] = HeldClaim(claim.value, now_ms + CLAIM_REWRITE_MS)

    def _rewrite(self) -> None:
        """Write the claims of the latest calls again; the store keeps another one of the key."""
        ensureDeferred(self._rewrite_held())  # type: ignore[arg-type]

    async def _rewrite_held(self) -> None:
        now_ms = self._clock.now_ms()
        # The newest first: the copy lacks the last seconds.
        held_by_path = {
            path: held
            for path, held in reversed(self._held_by_path.items())
            if held.until_ms > now_ms
        }
        paths = list(held_by_path)
        written_count = 0
        for start in range(0, len(paths), REWRITES_AT_ONCE):
            writes: list[Deferred[bool]] = [
                ensureDeferred(
                    self._write_again(path, held_by_path[path].value)  # type: ignore[arg-type]
                )
                for path in paths[start : start + REWRITES_AT_ONCE]
            ]
            written_count += sum(await gatherResults(writes))
        if paths:
            kept_count = len(paths) - written_count
            log.info("claims_rewritten", written=written_count, kept_or_failed=kept_count)

    async def _write_again(self, path: str, value: str) -> bool:
        return (await self._store.create(path, value)).is_ok()

    async def _write_claim(
        self, path: str, call: Call, version: int | None
    ) -> Result[Claim, ClaimFailure]:
        claim_id, rises = new_id(), self._era.rises
        run = self.runs.open(claim_id, self._clock.now_ms() + CLAIM_RETENTION_MS)
        record = ClaimRecord(
            claim_id,
            self._local_member.node_id,
            self._local_member.boot_id,
            self._local_member.address,
            self._local_member.peer_port,
            call.fingerprint,
        )
        value = msgspec.json.encode(record).decode()
        if version is None:
            written = await self._store.create(path, value)
        else:
            written = await self._store.update(path, value, version)
        stored = written
        if written.is_error():
            stored = await self._store.read(path)
        result = self._resolve_write(call, path, claim_id, stored, written)
        if result.is_ok():
            return Ok(Claim(path, result.ok, run, value, rises))
        # This claim is never dispatched, even if the write takes effect later.
        run.fail(NotRun(NotRunReason.SEALED))
        return Error(result.error)

    def _resolve_write(
        self,
        call: Call,
        path: str,
        claim_id: str,
        stored: Result[StoredObject, StoreFailure],
        written: Result[StoredObject, StoreFailure],
    ) -> Result[int, ClaimFailure]:
        """Determine who holds the key from the store's replies; `Ok` with the claim version."""
        if stored.is_error():
            log.warning("claim_failed", name=path, cause=repr(stored.error))
            lost_race = written.is_error() and isinstance(written.error, Conflict)
            if lost_race and isinstance(stored.error, Missing):
                return Error(KeyReleased())
            return Error(unchecked_key_failure(call.first_send, NotRun(NotRunReason.PLATFORM_DOWN)))
        try:
            record = msgspec.json.decode(stored.ok.value, type=ClaimRecord)
        except msgspec.MsgspecError:
            log.error("claim_malformed", name=path)
            return Error(Unknown(UnknownReason.CLAIMED_ELSEWHERE))
        if record.claim_id == claim_id:
            return Ok(stored.ok.version)
        return Error(KeyHeld(stored.ok, record))

    async def _query_holder(self, held_key: KeyHeld, call: Call) -> Outcome:
        """Return the outcome of the call that holds the key."""
        record = held_key.record
        if record.fingerprint != call.fingerprint:
            return Error(NotRun(NotRunReason.KEY_REUSED))
        try:
            return await self._peers.query_claim(
                record.claim_id, call, record.address, record.peer_port
            )
        except HttpError:
            return Error(Unknown(UnknownReason.CLAIMED_ELSEWHERE))


def _holder_never_runs(outcome: Outcome) -> bool:
    """Return whether the holder of a key will never run its call."""
    if outcome.is_ok() or not isinstance(outcome.error, NotRun):
        return False
    return outcome.error.reason is not NotRunReason.KEY_REUSED


def unchecked_key_failure(first_send: bool, rejection: NotRun) -> NotRun | Unknown:
    """Return the failure of a call whose key could not be looked up.

    The call itself did not run, but an earlier one with the same key may have, unless the caller
    states that it never sent the key before.
    """
    if first_send:
        return rejection
    return Unknown(UnknownReason.KEY_NOT_CHECKED, retry_after_ms=rejection.retry_after_ms)


def claim_path(call: Call) -> str:
    """Return the path of the object that holds the claim of a call's key."""
    digest = hashlib.blake2b(digest_size=20)
    for part in (call.tenant, call.key):
        encoded = part.encode("latin-1", "replace")
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return f"claims/{call.service.name}.{digest.hexdigest()}"
