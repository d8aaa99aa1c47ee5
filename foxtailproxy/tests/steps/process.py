"""Steps for the settings file, signals, timers and the log stream of a process."""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import structlog
from behave import given, then, when
from twisted.internet.defer import fail
from twisted.internet.epollreactor import EPollReactor

from foxtailproxy.clock import WorkTimer, use_monotonic_time
from foxtailproxy.config.settings import parse_settings
from foxtailproxy.logs import EventSampler, LogStream
from foxtailproxy.settings_watch import SettingsWatch
from foxtailproxy.tests.fakes import advance, captured_log, fake_clock
from standins.fleet import ADDRESS, free_ports

VALID_SETTINGS_PATH = Path(__file__).parents[1] / "data" / "node-valid.ini"
READ_BYTES = 1 << 20

TIMER_TOLERANCE_S = 1.0
SIGNAL_WAIT_S = 0.3
FAILURES = 2

SLOW_IMPORT_PROGRAM = """
import sys, time, types
def cli(**options):
    print("importing", flush=True)
    time.sleep(5)
sys.modules["foxtailproxy.cli"] = types.SimpleNamespace(cli=cli)
sys.argv = ["foxtailproxy", "node", *sys.argv[1:]]
from foxtailproxy.__main__ import main
main()
"""
"""A node process that prints a line while it is still importing."""

BROKEN_CLOSE_PROGRAM = """
import importlib, sys
module, owner, name, path = sys.argv[1:]
def fail(*arguments):
    raise RuntimeError("broken")
target = importlib.import_module(module)
setattr(getattr(target, owner) if owner else target, name, fail)
sys.argv = ["foxtailproxy", "node", path]
from foxtailproxy.__main__ import main
main()
"""
"""A node process in which one function raises an error."""

CLOSE_BY_PART = {
    "the caller server": ("foxtailproxy.caller_server", "CallerServer", "drain"),
    "the target's queue": ("foxtailproxy.target", "Target", "leave"),
    "the caller port": ("foxtailproxy.http.transport", "", "accept_waiting_and_close"),
    "the configuration": ("foxtailproxy.config_sync", "ConfigSync", "close"),
    "the gossip": ("foxtailproxy.gossip", "Gossip", "close"),
    "the registration": ("foxtailproxy.registration", "Registration", "close"),
    "the caller connections": ("foxtailproxy.http.server", "ServerFactory", "close"),
    "the target": ("foxtailproxy.target", "Target", "close"),
    "the settings watch": ("foxtailproxy.settings_watch", "SettingsWatch", "close"),
}
"""Module, class and name of the function that closes each part."""


@given("a watched settings file of a node")
def step_watch_settings_file(context: Any) -> None:
    context.clock = fake_clock()
    context.path = Path(tempfile.mkdtemp()) / "node.ini"
    context.settings_text = VALID_SETTINGS_PATH.read_text(encoding="utf-8")
    context.path.write_text(context.settings_text)
    context.adopted = []
    context.watch = SettingsWatch(
        context.clock, str(context.path), context.settings_text, context.adopted.append
    )
    context.watch.start()


def _settings_with_silence(context: Any, ms: str) -> str:
    return context.settings_text.replace("silence_ms = 500", f"silence_ms = {ms}")


@when("the file {change} and {ms:d} ms pass")
def step_change_file(context: Any, change: str, ms: int) -> None:
    change_words = change.split()
    if change == "becomes invalid":
        context.path.write_text(context.settings_text + "nonsense = 1\n")
    elif change == "becomes unreadable":
        context.path.write_bytes(b"\xff\xfe\x00")
    elif change_words[0] == "gets":
        context.path.write_text(_settings_with_silence(context, change_words[-1]))
    elif change_words[0] == "goes":
        context.path.unlink()
        advance(context.clock, ms / 2)
        context.path.write_text(_settings_with_silence(context, change_words[-1]))
    advance(context.clock, ms)
    context.watch.close()


@then("the node has adopted {count:d} new settings and silence_ms is {silence:d}")
def step_check_adopted_settings(context: Any, count: int, silence: int) -> None:
    assert len(context.adopted) == count, context.adopted
    settings = (
        context.adopted[-1] if context.adopted else parse_settings(context.settings_text, "test")
    )
    assert settings.limits.silence_ms == silence


@given("a settings file that changed after the node read it")
def step_change_file_before_watch(context: Any) -> None:
    step_watch_settings_file(context)
    context.path.write_text(_settings_with_silence(context, "800"))


@when("the node checks the file for the first time")
def step_check_file_once(context: Any) -> None:
    context.watch.check()
    context.watch.close()


@given("a node process in which closing {part} fails")
def step_start_node_with_broken_part(context: Any, part: str) -> None:
    path = Path(tempfile.mkdtemp()) / "node.ini"
    text = VALID_SETTINGS_PATH.read_text(encoding="utf-8") + "leaving_notice_ms = 0\n"
    keys = ("caller_port", "peer_port", "admin_port", "gossip_port")
    for key, port in zip(keys, free_ports(len(keys)), strict=True):
        text = re.sub(f"{key} = .*", f"{key} = {port}", text)
    path.write_text(text)
    command = [sys.executable, "-c", BROKEN_CLOSE_PROGRAM, *CLOSE_BY_PART[part], str(path)]
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)


@when("it serves and receives SIGTERM")
def step_stop_serving_node(context: Any) -> None:
    while (line := context.process.stdout.readline()) and b"'node_serving'" not in line:
        pass
    time.sleep(SIGNAL_WAIT_S)
    context.process.send_signal(signal.SIGTERM)


@then("it has ended within {seconds:d} s, and logged the failure")
def step_check_ended(context: Any, seconds: int) -> None:
    try:
        output, _ = context.process.communicate(timeout=seconds)
    finally:
        context.process.kill()
        context.process.communicate()
    assert b"event='close_failed'" in output, output.decode()
    assert context.process.returncode == 0, context.process.returncode


@given("a reactor that uses monotonic time")
def step_create_reactor(context: Any) -> None:
    context.reactor = EPollReactor()
    use_monotonic_time(context.reactor)


@when("a timer of {seconds:d} s is scheduled")
def step_schedule_timer(context: Any, seconds: int) -> None:
    context.timer = context.reactor.callLater(seconds, lambda: None)
    context.due_s = time.clock_gettime(time.CLOCK_BOOTTIME) + seconds


@then("it is due by the time since the instance booted, whatever the time of day")
def step_check_timer_due_time(context: Any) -> None:
    assert abs(context.timer.getTime() - context.due_s) < TIMER_TOLERANCE_S


@given("a node process that is still importing")
def step_start_node_process(context: Any) -> None:
    path = Path(tempfile.mkdtemp()) / "node.ini"
    path.write_text(VALID_SETTINGS_PATH.read_text(encoding="utf-8"))
    command = [sys.executable, "-c", SLOW_IMPORT_PROGRAM, str(path)]
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE)
    context.process.stdout.readline()


@given("a node process with {settings} that is still importing")
def step_start_node_process_with_settings(context: Any, settings: str) -> None:
    (context.port,) = free_ports(1)
    path = Path(tempfile.mkdtemp()) / "node.ini"
    path.write_text(_settings_text(settings, context.port))
    if settings == "no file":
        path.unlink()
    arguments, environment = [str(path)], dict(os.environ)
    if "named in a variable" in settings:
        arguments, environment = [], environment | {"FOXTAILPROXY_CONFIG": str(path)}
    if "checked only" in settings:
        arguments.append("--check")
    command = [sys.executable, "-c", SLOW_IMPORT_PROGRAM, *arguments]
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE, env=environment)
    context.process.stdout.readline()


def _settings_text(settings: str, port: int) -> str:
    text = VALID_SETTINGS_PATH.read_text(encoding="utf-8")
    if "no INI" in settings:
        return "no INI"
    if "address" in settings:
        return text.replace("caller_port = 8080", f"caller_address = {ADDRESS}:{port}")
    value = "many" if "not a number" in settings else port
    return text.replace("caller_port = 8080", f"caller_port = {value}")


@then("a caller that connects to it is {treated}")
def step_caller_connects(context: Any, treated: str) -> None:
    try:
        socket.create_connection((ADDRESS, context.port), SIGNAL_WAIT_S).close()
        connected = True
    except ConnectionRefusedError:
        connected = False
    context.process.kill()
    context.process.wait()
    context.process.stdout.close()
    assert connected == (treated == "queued")


@when("it receives SIGHUP before it serves")
def step_send_sighup(context: Any) -> None:
    context.process.send_signal(signal.SIGHUP)


@then("it keeps running")
def step_check_still_running(context: Any) -> None:
    time.sleep(SIGNAL_WAIT_S)
    still_running = context.process.poll() is None
    context.process.kill()
    context.process.wait()
    context.process.stdout.close()
    assert still_running, context.process.returncode


@given("a {timer} every {interval:d} ms whose work fails {how} twice")
def step_start_failing_timer(context: Any, timer: str, interval: int, how: str) -> None:
    context.clock = fake_clock()
    context.work_count = 0

    def work() -> Any:
        context.work_count += 1
        if context.work_count > FAILURES:
            return True
        if how == "later":
            return fail(OSError("broken"))
        raise OSError("broken")

    if timer == "work timer":
        work_timer = WorkTimer(context.clock, interval, work)
        work_timer.wake()
        context.stop_timer = work_timer.close
    else:
        context.stop_timer = context.clock.repeat(interval, work).stop


@when("the timer has run for {ms:d} ms")
def step_pass_time(context: Any, ms: int) -> None:
    with captured_log() as context.entries:
        advance(context.clock, ms)


@then("the work was done {count:d} times, and {errors:d} errors were logged")
def step_check_work(context: Any, count: int, errors: int) -> None:
    assert context.work_count == count, context.work_count
    events = [entry["event"] for entry in context.entries]
    assert events == errors * ["timer_failed"], context.entries


@then("it is not done any more once the timer is stopped")
def step_check_timer_stopped(context: Any) -> None:
    done = context.work_count
    context.stop_timer()
    advance(context.clock, 1000)
    assert context.work_count == done


@given("a log stream into a pipe that is not read")
def step_open_unread_pipe(context: Any) -> None:
    context.read_end, write_end = os.pipe()
    context.stream = LogStream(write_end)


@when("{count:d} lines are logged")
def step_log_lines(context: Any, count: int) -> None:
    started_s = time.monotonic()
    for _ in range(count):
        context.stream.msg("event=call attempt=0123456789abcdef outcome=answered")
    context.elapsed_ms = (time.monotonic() - started_s) * 1000
    context.count = count


@then("logging them takes less than {ms:d} ms")
def step_check_elapsed_time(context: Any, ms: int) -> None:
    assert context.elapsed_ms < ms, context.elapsed_ms


@then("the dropped lines are counted once the pipe is read again")
def step_check_dropped_count(context: Any) -> None:
    received = b""
    os.set_blocking(context.read_end, False)
    while True:
        try:
            chunk = os.read(context.read_end, READ_BYTES)
        except BlockingIOError:
            break
        received += chunk
        context.stream.flush()
    assert context.stream.dropped > 0
    assert received.count(b"\n") + context.stream.dropped == context.count


@given("a log stream into a file")
def step_open_log_file(context: Any) -> None:
    context.path = Path(tempfile.mkdtemp()) / "log"
    stream = LogStream(os.open(context.path, os.O_CREAT | os.O_WRONLY))
    context.clock_s = 0
    sampler = EventSampler(stream, lambda: context.clock_s)

    def log(event: str) -> None:
        try:
            fields = sampler(None, "info", {"event": event})
        except structlog.DropEvent:
            return
        stream.msg(" ".join(f"{key}={value}" for key, value in fields.items()))

    context.log = log


@when("{count:d} lines of one event are logged within a second, and one in the next")
def step_log_repeated_event(context: Any, count: int) -> None:
    for _ in range(count):
        context.log("call")
    context.clock_s += 1
    context.log("call")


@then("{least:d} to {most:d} lines are written, and the last reports {dropped:d} dropped")
def step_check_line_count(context: Any, least: int, most: int, dropped: int) -> None:
    lines = context.path.read_text(encoding="utf-8").splitlines()
    assert least <= len(lines) <= most, len(lines)
    expected_ending = f"log_dropped={dropped}" if dropped else "event=call"
    assert lines[-1].endswith(expected_ending), lines[-1]
