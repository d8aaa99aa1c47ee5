"""Steps for the placement of calls in an emulated fleet."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from standins.emulator.deployments import booking_mesh, ticketing_mesh
from standins.emulator.fleet import EmulatedFleet
from standins.emulator.load import Burst, FleetLoad

OLD_REPORT_MS = 500.0
CREST_AT_MS = 2000.0
MS_PER_SECOND = 1000


def _earned_share(fleet: EmulatedFleet) -> float:
    owed = sum(record.request_class.worth for record in fleet.records)
    return sum(record.credit for record in fleet.records) / owed


def _play(load: FleetLoad, seed: int) -> EmulatedFleet:
    fleet = EmulatedFleet(load, seed)
    fleet.run()
    return fleet


@given("the load of the booking mesh on {count:d} nodes")
def step_load(context: Any, count: int) -> None:
    context.make_load = lambda **fields: booking_mesh(count, **fields)


@given(
    "the load of the booking mesh on {count:d} nodes, {scale:g} times as high, with a crest of "
    "{factor:g} for {seconds:d} s"
)
def step_crest(context: Any, count: int, scale: float, factor: float, seconds: int) -> None:
    bursts = [Burst(CREST_AT_MS, seconds * MS_PER_SECOND, factor)]
    context.make_load = lambda **fields: booking_mesh(count, scale, bursts=bursts, **fields)


@when("it is played for {ms:d} ms")
def step_play(context: Any, ms: int) -> None:
    context.load = context.make_load(duration_ms=ms)
    context.fleet = _play(context.load, 1)


@when(
    "it is played for {ms:d} ms with seeds {first:d} and {second:d}, with load queries and without"
)
def step_compare(context: Any, ms: int, first: int, second: int) -> None:
    seeds = (first, second)
    with_queries = context.make_load(duration_ms=ms)
    without = context.make_load(duration_ms=ms, measure_bytes_per_s=0)
    context.with_queries = [_play(with_queries, seed) for seed in seeds]
    context.without = [_play(without, seed) for seed in seeds]


@then(
    "at most 1 in {part:d} choices of a peer's target rest on no load report or one older than "
    "{ms:d} ms"
)
def step_report_ages(context: Any, part: int, ms: int) -> None:
    ages_ms = context.fleet.report_ages_ms
    old = sum(age_ms > ms for age_ms in ages_ms)
    assert ages_ms and old <= len(ages_ms) / part, (old, len(ages_ms))


@then("each node sends at most {limit:d} bytes of load queries a second")
def step_query_bytes(context: Any, limit: int) -> None:
    seconds = context.load.duration_ms / MS_PER_SECOND
    per_node = context.fleet.counters["load_bytes"] / context.load.node_count / seconds
    assert 0 < per_node <= limit, per_node


@then("with load queries there are fewer sends for each call")
def step_fewer_sends(context: Any) -> None:
    sends = [
        [fleet.counters["sends"] / fleet.counters["calls"] for fleet in fleets]
        for fleets in (context.with_queries, context.without)
    ]
    # Paired by seed: the crest of each seed is of another height.
    assert all(less < more for less, more in zip(*sends, strict=True)), sends


@then("with load queries callers earn at least as much, within {margin:d} in 100")
def step_no_less(context: Any, margin: int) -> None:
    earned = [
        [_earned_share(fleet) for fleet in fleets]
        for fleets in (context.with_queries, context.without)
    ]
    means = [sum(shares) / len(shares) for shares in earned]
    assert means[0] >= means[1] - margin / 100, earned


@given("the load of the ticketing mesh on {count:d} nodes, {scale:g} times as high")
def step_ticketing(context: Any, count: int, scale: float) -> None:
    context.make_load = lambda **fields: ticketing_mesh(count, scale, **fields)


@when(
    "it is played for {ms:d} ms with seeds {first:d} and {second:d}, with calls that leave by "
    "chance and by time"
)
def step_compare_crossing(context: Any, ms: int, first: int, second: int) -> None:
    seeds = (first, second)
    by_chance = context.make_load(duration_ms=ms, leave_by_chance=True)
    by_time = context.make_load(duration_ms=ms)
    context.by_chance = [_play(by_chance, seed) for seed in seeds]
    context.by_time = [_play(by_time, seed) for seed in seeds]


@then("by chance at most 1 in {part:d} bytes of calls by time cross between data centres")
def step_fewer_bytes(context: Any, part: int) -> None:
    crossed = [
        sum(
            fleet.counters["data_center_bytes"] + fleet.counters["region_bytes"] for fleet in fleets
        )
        for fleets in (context.by_chance, context.by_time)
    ]
    assert 0 < crossed[0] * part <= crossed[1], crossed


@then("by chance callers earn at least as much, within {margin:d} in 100")
def step_crossing_no_less(context: Any, margin: int) -> None:
    means = [
        sum(_earned_share(fleet) for fleet in fleets) / len(fleets)
        for fleets in (context.by_chance, context.by_time)
    ]
    assert means[0] >= means[1] - margin / 100, means
