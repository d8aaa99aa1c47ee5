"""Steps for what a caller reads of hedged look-ups, through its own and the targets' nodes."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from behave import given, then, when
from expression import Ok

from foxtailproxy.caller_server import CallerServer
from foxtailproxy.clock import Clock
from foxtailproxy.config.rules import Match, RuleBook
from foxtailproxy.dispatch import Dispatcher
from foxtailproxy.http.body import BodyStream
from foxtailproxy.http.messages import ResponseHead
from foxtailproxy.http.server import ServerFactory, ServerLimits
from foxtailproxy.load import Load
from foxtailproxy.metrics import Metrics
from foxtailproxy.models.rules import ClassRule, FleetRule, Rules, ServiceRule
from foxtailproxy.outcome import Answer, Outcome
from foxtailproxy.peer_client import PeerClient
from foxtailproxy.peer_server import PeerServer
from foxtailproxy.platform.dialect import PlatformDialect
from foxtailproxy.quarantine import Quarantine
from foxtailproxy.retry_budget import RetryBudgets, RetryLimits
from foxtailproxy.routing import LOCAL_ID, ChoiceEstimate, LocalChoice, PeerChoice
from foxtailproxy.tests.fakes import LIMITS, advance, make_answer, make_member
from foxtailproxy.tests.http_sessions import HOST_HEADER, RecordingTransport
from foxtailproxy.tests.memory_network import NetworkReactor
from foxtailproxy.tests.steps.dispatch import USUAL_MS, FakeRouter, FakeView, make_failure

SERVER_LIMITS = ServerLimits(
    header_bytes=8000, body_bytes=1000, header_time_ms=1000, idle_time_ms=5000
)
ERROR_AFTER_MS, FAILURE_AFTER_MS = 270, 200
NEXT_AFTER_MS = 600
SECOND_PATH = b"/second"
RECEIPT = (b"x-foxtailproxy-response-signature", b"b4cf.1.ba")


class ScriptedTarget:
    """Target that answers the first look-up as `make_outcome` says, and the second one whole."""

    def __init__(self, clock: Clock, delay_ms: float, make_outcome: Callable[[], Outcome]) -> None:
        self._clock = clock
        self._delay_ms = delay_ms
        self._make_outcome = make_outcome

    async def run(self, call: Any) -> Outcome:
        """Run a call."""
        if call.head.target == SECOND_PATH:
            await self._clock.sleep(NEXT_AFTER_MS)
            return Ok(Answer(ResponseHead(200, b"OK", [RECEIPT]), BodyStream.from_bytes(b"next")))
        await self._clock.sleep(self._delay_ms)
        return self._make_outcome()

    def cancel(self, send_id: str) -> None:
        """Do nothing."""

    def load(self) -> Load:
        """Return the load of a target without calls."""
        return Load(0, 0, 10, 10.0, USUAL_MS)

    def is_idempotent(self, send_id: str) -> bool:
        """Return true, since all calls are look-ups."""
        return True


class OrderedPlacement:
    """Placement that chooses the targets in their order."""

    def __init__(self, choice_by_id: dict[str, Any]) -> None:
        self._choice_by_id = choice_by_id

    async def choose(
        self, match: Any, tried_ids: set[str], size: int, declined_ids: Any, *args: Any, **more: Any
    ) -> Any:
        """Return the first target that is left."""
        left = [key for key in self._choice_by_id if key not in {*tried_ids, *declined_ids}]
        return self._choice_by_id[left[0]] if left else None


class AnyRouter(FakeRouter):
    """Router for local and other targets."""

    def health_of(self, choice: Any) -> Any:
        """Return the health of any target."""
        return FakeView("").health


class LookUpConfig:
    """Configuration in which each request is a look-up that may run at two targets."""

    def __init__(self) -> None:
        rule_book: Any = RuleBook(Rules(FleetRule(), [], [], []))
        rule = ClassRule(
            "kalender", "lookup", idempotent=True, attempts=2, objective_ms=400, deadline_ms=2000
        )
        match = Match(ServiceRule("kalender", hosts=["kalender"]), rule)
        rule_book.match = lambda host, method, path: match
        rule_book.is_idempotent = lambda host, method, path: True
        self.rule_book = rule_book

    def version(self) -> tuple[int]:
        """Return the version of the configuration."""
        return (1,)


@given("a caller whose look-ups are hedged, over {hops}")
def step_hedged_caller(context: Any, hops: str) -> None:
    context.hops = hops
    context.reactor = NetworkReactor()
    context.clock = Clock(context.reactor)


@when(
    "the first target answers with status 500 and {size:d} bytes, and then the second one ends as "
    "{reason}"
)
def step_error_then_failure(context: Any, size: int, reason: str) -> None:
    clock, reactor = context.clock, context.reactor
    config: Any = LookUpConfig()
    context.body = b"E" * size
    targets: dict[str, Any] = {
        "b": ScriptedTarget(clock, ERROR_AFTER_MS, lambda: make_answer(context.body, 500)),
        "c": ScriptedTarget(clock, FAILURE_AFTER_MS, lambda: make_failure(reason)),
    }
    choice_by_id: dict[str, Any] = {}
    for port, (name, target) in enumerate(targets.items(), 1):
        member = make_member(name, address="127.0.0.1", peer_port=port)
        view: Any = FakeView(name)
        view.member = member
        choice_by_id[name] = PeerChoice(view, estimate=ChoiceEstimate(name, USUAL_MS, USUAL_MS))
        claims: Any = None
        peer_server = PeerServer(clock, LIMITS, target, config, claims, member.boot_id)
        reactor.server_by_port[port] = ServerFactory(peer_server.handle, SERVER_LIMITS, clock)
    if context.hops == "one hop":
        del choice_by_id["b"]
        local = LocalChoice(estimate=ChoiceEstimate("", USUAL_MS, USUAL_MS))
        choice_by_id = {LOCAL_ID: local, **choice_by_id}
    router: Any = AnyRouter()
    placement: Any = OrderedPlacement(choice_by_id)
    metrics = Metrics()
    dispatcher = Dispatcher(
        clock,
        LIMITS,
        targets["b"],
        router,
        placement,
        PeerClient(clock, reactor, LIMITS, lambda node_id, load: None),
        Quarantine(clock),
        RetryBudgets(clock, RetryLimits(2.0)),
        metrics,
        False,
    )
    dialect = PlatformDialect(lambda: "kalender")
    server = CallerServer(clock, LIMITS, config, dispatcher, claims, metrics, dialect, False)
    factory = ServerFactory(server.handle, SERVER_LIMITS, clock, server.may_overlap)
    connection: Any = factory.buildProtocol(None)
    context.transport = RecordingTransport()
    connection.makeConnection(context.transport)
    for path in (b"/first", SECOND_PATH):
        connection.dataReceived(
            b"GET %s HTTP/1.1\r\n%sX-Foxtailproxy-Attempt-Id: %s\r\n\r\n"
            % (path, HOST_HEADER, path[1:])
        )
    advance(clock, 2000, 1.0)


@then("the caller reads a whole response with status 500 and another one behind it")
def step_two_whole_responses(context: Any) -> None:
    received: bytes = context.transport.value()
    responses: list[tuple[int, bytes]] = []
    while received:
        head, _, rest = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 "), (responses, head)
        length = int(re.findall(rb"content-length: (\d+)", head)[0])
        responses.append((int(head.split()[1]), rest[:length]))
        received = rest[length:]
    assert responses == [(500, context.body), (200, b"next")], responses
