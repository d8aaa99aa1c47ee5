"""Removal of customers' keys from texts about a configuration."""

from __future__ import annotations

import hashlib
import os
import re

KEY_LINE = re.compile(r"^(?P<name>\s*keys\s*[=:]\s*)(?P<keys>.*)$")
KEY_SEPARATOR = re.compile(r"[\s,]+")
FINGERPRINT_BYTES = 4
_SECRET = os.urandom(32)


def redact_keys(text: str) -> str:
    """Return a configuration in canonical INI with a fingerprint in place of each key.

    Equal keys have equal fingerprints within one process, so that a difference of two texts still
    shows which keys changed.
    """
    return "".join(_redact_line(line) for line in text.splitlines(keepends=True))


def _redact_line(line: str) -> str:
    content = line.rstrip("\r\n")
    match = KEY_LINE.match(content)
    if match is None:
        return line
    keys = [key for key in KEY_SEPARATOR.split(match["keys"]) if key]
    fingerprints = " ".join(f"<key {_fingerprint(key)}>" for key in keys)
    return match["name"] + fingerprints + line[len(content) :]


def _fingerprint(key: str) -> str:
    digest = hashlib.blake2b(key.encode(), digest_size=FINGERPRINT_BYTES, key=_SECRET)
    return digest.hexdigest()
