"""Build script of the distributed executable archive, dist/foxtailproxy.

The archive unpacks itself once and runs in the same process; it needs a Python interpreter and no
network. `FOXTAILPROXY_UNPACK_FOLDER` sets the folder at build time, `SHIV_ROOT` at run time; on
instances without a disk, use a folder in memory.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

OUTPUT = Path("dist") / "foxtailproxy"
UNPACK_FOLDER = os.environ.get("FOXTAILPROXY_UNPACK_FOLDER", "")
"""Folder that the archive unpacks itself into; if empty, shiv's default."""


def main() -> None:
    """Build the archive and check that it starts."""
    OUTPUT.parent.mkdir(exist_ok=True)
    command = [str(Path(sys.executable).parent / "shiv"), "--compressed", "--reproducible"]
    command += ["--console-script", "foxtailproxy", "--python", "/usr/bin/env python3"]
    command += ["--root", UNPACK_FOLDER] if UNPACK_FOLDER else []
    command += ["--output-file", str(OUTPUT)]
    subprocess.run([*command, "--quiet", "--constraint", "requirements.txt", "."], check=True)
    version = subprocess.run(
        [sys.executable, str(OUTPUT), "version"], check=True, capture_output=True, text=True
    ).stdout.strip()
    print(f"{OUTPUT}: {OUTPUT.stat().st_size // 1024} KB, version {version}")


if __name__ == "__main__":
    main()
