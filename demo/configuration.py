"""Configuration of the demonstration, as an operator would write it."""

from __future__ import annotations

from foxtailproxy.config.builder import Configuration


def demo_configuration() -> str:
    """Return the configuration: look-ups and quotes are idempotent, bookings run at most once."""
    config = Configuration(retry_percent=20)
    kalender = config.service("kalender", hosts=["kalender.example"])
    kalender.idempotent("lookup", methods=["GET"], deadline_ms=2000, weight=4, priority=6)
    hinnang = config.service("hinnang", hosts=["hinnang.example"])
    hinnang.idempotent("quote", methods=["GET"], deadline_ms=4000, long=True, priority=3)
    broneering = config.service("broneering", hosts=["broneering.example"])
    broneering.at_most_once("booking", methods=["POST"], deadline_ms=4000, priority=9)
    return config.to_ini()


if __name__ == "__main__":
    print(demo_configuration())
