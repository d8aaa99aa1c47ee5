"""Builds the one file that ships: dist/foxtailproxy.

The file unpacks itself once and runs in the same process; it needs a Python interpreter and no
network. `FOXTAILPROXY_UNPACK_FOLDER` names the folder at build time, `SHIV_ROOT` at run time;
instances without a disk want one in memory.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

OUTPUT = Path("dist") / "foxtailproxy"
UNPACK_FOLDER = os.environ.get("FOXTAILPROXY_UNPACK_FOLDER", "")
"""Folder that the built file unpacks itself into; empty leaves it to the build tool."""


def main() -> None:
    """Build the file and check that it starts."""
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
