"""Synchronization of the configuration: the newest one from the store or a peer is adopted.

The first nodes of a data centre by rank watch the store. One that has lost it tells the next ones,
which watch in its place until it reaches the store again.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from typing import TYPE_CHECKING, Protocol

import msgspec
import structlog
from twisted.internet.defer import ensureDeferred

from foxtailproxy.back_off import back_off_ms
from foxtailproxy.config.ini import Problem
from foxtailproxy.config.rules import RuleBook, parse_rules
from foxtailproxy.exceptions import SettingsError
from foxtailproxy.models.messages import ConfigObject, MemberState
from foxtailproxy.registration import MEMBER_KIND
from foxtailproxy.storage.kind_watch import KindWatch
from foxtailproxy.storage.store_era import StoreEra
from foxtailproxy.store import Missing

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from twisted.internet.task import LoopingCall

    from foxtailproxy.clock import Clock
    from foxtailproxy.membership import MemberTable
    from foxtailproxy.models.messages import MemberRecord
    from foxtailproxy.models.rules import Rules
    from foxtailproxy.peer_client import PeerClient
    from foxtailproxy.store import Changes, ObjectListing, Store, StoredObject

log = structlog.get_logger()

CONFIG_KIND = "config"
CONFIG_PATH = "config/current"

WATCHERS_PER_DATA_CENTER = 2
"""Nodes of a data centre that watch the store; the others get changes from peers."""

WATCH_CANDIDATES = 4
"""Nodes of a data centre that may watch the store, with those that take over from a watcher that
has lost it. If all have lost it, so have the others, or changes come from other data centres."""

WATCHER_CHECK_INTERVAL_MS = 500
"""Interval at which a node checks whether membership has made it a watcher."""

TAKE_OVER_DELAY_MS = 100
"""Time in which a watcher whose watch broke may find that it reaches the store after all, before
others take over."""

PEER_CONFIG_WAIT_MS = 300
"""Time for which a starting node waits for the configuration from its peers, in ms. A configuration
of many routes is a megabyte: if all nodes of a region read it from the store at once, that would
block the link between regions for seconds."""

STORED_CONFIG_WAIT_MS = 100
"""Time for which a starting node holds a configuration of the store back until a peer has told its
version: a store that came back from an older copy would return it to an older one."""

ANNOUNCED_CONFIG_WAIT_MS = 10_000
"""Time after which a starting node takes an older configuration of the store although a peer has
announced a newer one: the peers that had it are gone."""

MIN_WATCH_MS = 50
"""Duration below which a watch is followed by a delay, so that it cannot become a busy loop."""

INITIAL_BACK_OFF_MS = 300
MAX_BACK_OFF_MS = 1500
"""Back-off while the store is unavailable: a change must be adopted seconds after its return."""


def version_of(config: ConfigObject | None) -> tuple[int, str]:
    """Return a sort key of configurations by age; the change id breaks ties of a generation."""
    return (0, "") if config is None else (config.generation, config.change_id)


def watch_rank(node_id: str) -> bytes:
    """Return a hash of a node id; nodes with the lowest ones of a data centre watch the store."""
    return hashlib.blake2b(node_id.encode(), digest_size=8).digest()


class ConfigSource(Protocol):
    """Location of the configuration in the store, and its format there."""

    kind: str
    path: str

    def decode(self, value: str) -> ConfigObject:
        """Decode the version and text of a configuration. Raises `SettingsError`."""

    def parse(self, text: str, source: str) -> Rules:
        """Parse the rules of a configuration. Raises `SettingsError`."""


class IniConfigSource:
    """Source of configurations in INI format, as `foxtailproxy config apply` writes them."""

    kind = CONFIG_KIND
    path = CONFIG_PATH

    def decode(self, value: str) -> ConfigObject:
        """Decode the version and text of a configuration. Raises `SettingsError`."""
        try:
            return msgspec.json.decode(value, type=ConfigObject)
        except msgspec.MsgspecError as error:
            raise SettingsError(CONFIG_PATH, [Problem("", "", "", str(error))]) from error

    def parse(self, text: str, source: str) -> Rules:
        """Parse the rules of a configuration. Raises `SettingsError`."""
        return parse_rules(text, source)


class ConfigSync:
    """Synchronizer that adopts newer configurations and never returns to an older one.

    `on_store_answer` is called with the time of a question to the store once its answer has been
    applied. `store_lost` tells whether this node watches the store but does not reach it;
    `send_state` tells it to some peers. The watchers also follow `other_watches`.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        peers: PeerClient,
        table: MemberTable,
        rng: random.Random,
        on_adopted: Callable[[RuleBook], None],
        send_state: Callable[[list[MemberRecord]], None],
        config_source: ConfigSource | None = None,
        era: StoreEra | None = None,
        other_watches: Sequence[KindWatch] = (),
    ) -> None:
        self.store_lost = False
        self.current: ConfigObject | None = None
        self.rule_book: RuleBook | None = None
        self.adopted_ms = 0.0
        self.on_store_answer: Callable[[float], None] | None = None
        self._clock = clock
        self._store = store
        self._source = config_source or IniConfigSource()
        self._peers = peers
        self._table = table
        self._rng = rng
        self._on_adopted = on_adopted
        self._send_state = send_state
        self._lost_ids: set[str] = set()
        self._replaced_ids: set[str] = set()
        self._watching = False
        self._watcher_check: LoopingCall | None = None
        self._kind_watch = KindWatch(store, self._source.kind, era or StoreEra(clock), self)
        self._other_watches = other_watches
        self._followed: list[KindWatch] = []
        self._pending_fetches: set[tuple[int, str]] = set()
        self._announced_version: tuple[int, str] = (0, "")
        self._announced_ms = 0.0
        self._started_ms = 0.0
        self._held: ConfigObject | None = None
        self._closed = False

    def start(self) -> None:
        """Start to watch the store if this node is one of the watchers of its data centre.

        Other nodes get the configuration from peers, and read the store only if none sends it.
        """
        self._started_ms = self._clock.now_ms()
        for wait_ms in (STORED_CONFIG_WAIT_MS, ANNOUNCED_CONFIG_WAIT_MS):
            # A millisecond later, as the difference of two times may be rounded down.
            self._clock.call_later(wait_ms + 1, self._adopt_held)
        self._watch_if_due()
        self._watcher_check = self._clock.repeat(WATCHER_CHECK_INTERVAL_MS, self._watch_if_due)
        ensureDeferred(self._read_unless_received())  # type: ignore[arg-type]

    def close(self) -> None:
        """Stop watching and reading the store."""
        self._closed = True
        if self._watcher_check is not None:
            self._watcher_check.stop()
            self._watcher_check = None

    def version(self) -> tuple[int, str]:
        """Return the generation and change id of the current configuration."""
        return version_of(self.current)

    def adopt_if_newer(self, config: ConfigObject, source: str) -> bool:
        """Adopt a configuration if it is valid and newer; return whether it was adopted."""
        if version_of(config) <= self.version():
            if version_of(config) < self.version():
                log.warning("config_older_ignored", generation=config.generation, source=source)
            return False
        try:
            rule_book = RuleBook(self._source.parse(config.text, source))
        except SettingsError as error:
            log.error(
                "config_invalid", generation=config.generation, problem=str(error.problems[0])
            )
            return False
        self.current = config
        self.rule_book = rule_book
        self.adopted_ms = self._clock.now_ms()
        log.info(
            "config_adopted",
            generation=config.generation,
            source=source,
            after_ms=self._ms_since_announced(version_of(config)),
            services=len(rule_book.service_by_name),
            routes=rule_book.route_count,
        )
        self._on_adopted(rule_book)
        return True

    async def _read_unless_received(self) -> None:
        await self._clock.sleep(PEER_CONFIG_WAIT_MS)
        failures = 0
        while self.rule_book is None and not self._closed and not await self.read_store():
            failures += 1
            await self._clock.sleep(
                back_off_ms(failures, INITIAL_BACK_OFF_MS, MAX_BACK_OFF_MS, self._rng)
            )

    async def read_store(self) -> bool:
        """Read the configuration from the store; return whether the store answered.

        A stale read could bring back what was withdrawn before this process started.
        """
        asked_ms = self._clock.now_ms()
        stored = await self._store.read(self._source.path)
        if stored.is_error():
            return isinstance(stored.error, Missing)
        self._adopt_stored(stored.ok.value)
        self._report_store_answer(asked_ms)
        return True

    def _report_store_answer(self, asked_ms: float) -> None:
        if self.on_store_answer is not None:
            self.on_store_answer(asked_ms)

    def version_received(self, generation: int, change: str, member: MemberRecord) -> None:
        """Fetch the configuration that a peer announces if it is newer."""
        version = (generation, change)
        if version > max(self.version(), self._announced_version):
            self._announced_version = version
            self._announced_ms = self._clock.now_ms()
            log.info("config_announced", generation=generation, peer=member.node_id)
        if version > self.version() and version not in self._pending_fetches:
            self._pending_fetches.add(version)
            ensureDeferred(self._fetch(version, member))  # type: ignore[arg-type]
        self._adopt_held()

    def _ms_since_announced(self, version: tuple[int, str]) -> int:
        """Return the time since a peer first announced a version; 0 if none has."""
        if version != self._announced_version:
            return 0
        return round(self._clock.now_ms() - self._announced_ms)

    async def _fetch(self, version: tuple[int, str], member: MemberRecord) -> None:
        config = await self._peers.fetch_config(member)
        self._pending_fetches.discard(version)
        if config is not None:
            self.adopt_if_newer(config, member.node_id)

    # Watchers of the data centre

    def store_state_received(self, lost: bool, member: MemberRecord) -> None:
        """Take over from a watcher of this data centre that has lost the store."""
        if lost == (member.node_id in self._lost_ids):
            return
        if member.data_center != self._table.local_record.data_center:
            return
        if lost:
            self._lost_ids.add(member.node_id)
            self._clock.call_later(TAKE_OVER_DELAY_MS, self._replace_watcher, member.node_id)
        else:
            self._lost_ids.discard(member.node_id)
            self._replaced_ids.discard(member.node_id)

    def _replace_watcher(self, node_id: str) -> None:
        if node_id in self._lost_ids:
            self._replaced_ids.add(node_id)
            if self._watcher_check is not None:
                self._watch_if_due()

    def is_watcher(self) -> bool:
        """Return whether too few of the nodes before this one by rank reach the store."""
        reaching_count = 0
        for record in self._candidates():
            if record is self._table.local_record:
                return reaching_count < WATCHERS_PER_DATA_CENTER
            reaching_count += record.node_id not in self._replaced_ids
        return False

    def _candidates(self) -> list[MemberRecord]:
        """Return the nodes of the data centre that may watch the store, the first ones first."""
        data_center = self._table.local_record.data_center
        records = (
            record
            for record in self._table.by_id.values()
            if record.data_center == data_center and record.state is MemberState.alive
        )
        return heapq.nsmallest(WATCH_CANDIDATES, records, lambda item: watch_rank(item.node_id))

    def _record_store_state(self, lost: bool) -> None:
        """Tell the other candidates of a change; a loss is repeated, as packets may be lost."""
        if lost or self.store_lost:
            self.store_lost = lost
            local = self._table.local_record
            self._send_state([record for record in self._candidates() if record is not local])

    def _watch_if_due(self) -> None:
        if not self._watching and not self._closed and self.is_watcher():
            self._watching = True
            ensureDeferred(self._watch())  # type: ignore[arg-type]

    async def _watch(self) -> None:
        """Watch the store while this node is a watcher."""
        log.info("config_watch_started", stand_in_for=sorted(self._replaced_ids))
        # A stand-in may have lost the store as well: the cheapest call tells.
        is_probe_due = bool(self._replaced_ids)
        failures = 0
        while not self._closed and self.is_watcher():
            if not is_probe_due:
                self._start_followers()
            started_ms = self._clock.now_ms()
            failed = not await (self._probe() if is_probe_due else self._kind_watch.receive())
            if not failed and not is_probe_due:
                self._report_store_answer(started_ms)
            self._record_store_state(failed)
            if failed or not is_probe_due:
                failures = failures + 1 if failed else 0
            # After a watch that broke alone the store is probed at once, before others take over.
            is_retry_due = failed and (is_probe_due or failures > 1)
            is_too_fast = self._clock.now_ms() - started_ms < MIN_WATCH_MS
            if is_retry_due or (is_too_fast and not failed and not is_probe_due):
                # Neither an outage nor a store that answers immediately may cause a busy loop.
                delay_ms = back_off_ms(
                    max(1, failures - 1), INITIAL_BACK_OFF_MS, MAX_BACK_OFF_MS, self._rng
                )
                await self._clock.sleep(delay_ms)
            is_probe_due = failed
        self._record_store_state(False)
        self._watching = False

    async def _probe(self) -> bool:
        """Return whether the store answers a small read, at a tenth of the price of a watch."""
        path = f"{MEMBER_KIND}/{self._table.local_record.node_id}"
        read = await self._store.read(path, stale=True)
        return read.is_ok() or isinstance(read.error, Missing)

    def _start_followers(self) -> None:
        """Watch the other kinds as well, each beside the configuration."""
        for kind_watch in self._other_watches:
            if kind_watch not in self._followed:
                self._followed.append(kind_watch)
                ensureDeferred(self._follow(kind_watch))  # type: ignore[arg-type]

    async def _follow(self, kind_watch: KindWatch) -> None:
        """Watch another kind while this node is a watcher and reaches the store."""
        failures = 0
        while self._watching and not self._closed:
            if self.store_lost:
                # The probes of the configuration's watch tell when the store is back.
                await self._clock.sleep(INITIAL_BACK_OFF_MS)
                continue
            started_ms = self._clock.now_ms()
            failures = 0 if await kind_watch.receive() else failures + 1
            if failures or self._clock.now_ms() - started_ms < MIN_WATCH_MS:
                await self._clock.sleep(
                    back_off_ms(max(1, failures), INITIAL_BACK_OFF_MS, MAX_BACK_OFF_MS, self._rng)
                )
        self._followed.remove(kind_watch)

    # Listener of the watch

    def listing_received(self, listing: ObjectListing) -> None:
        """Adopt the configuration in a listing."""
        self._adopt_objects(listing.objects)

    def changes_received(self, changes: Changes) -> None:
        """Adopt a change of the configuration."""
        self._adopt_objects(changes.objects)

    def _adopt_objects(self, objects: list[StoredObject]) -> None:
        for stored in objects:
            if stored.path == self._source.path:
                self._adopt_stored(stored.value)

    def _adopt_stored(self, value: str) -> None:
        try:
            config = self._source.decode(value)
        except SettingsError as error:
            log.error("config_malformed", problem=str(error.problems[0]))
            return
        if self.rule_book is None and self._must_hold(config):
            self._held = config
            log.info(
                "config_held",
                generation=config.generation,
                announced=self._announced_version[0],
                started_ms=round(self._clock.now_ms() - self._started_ms),
            )
            return
        self.adopt_if_newer(config, "platform")

    def _must_hold(self, config: ConfigObject) -> bool:
        """Return whether a starting node has to learn from its peers whether there is a newer one.

        An earlier process of this node may have had that one in force.
        """
        waited_ms = self._clock.now_ms() - self._started_ms
        if version_of(config) < self._announced_version:
            return waited_ms < ANNOUNCED_CONFIG_WAIT_MS
        is_version_known = self._announced_version > (0, "") or not self._table.live_peers()
        return not is_version_known and waited_ms < STORED_CONFIG_WAIT_MS

    def _adopt_held(self) -> None:
        """Adopt the configuration that was held back, if it needs not wait any longer."""
        if self._held is None or self._closed:
            return
        if self.rule_book is not None:
            self._held = None
        elif not self._must_hold(self._held):
            config, self._held = self._held, None
            self.adopt_if_newer(config, "platform")
