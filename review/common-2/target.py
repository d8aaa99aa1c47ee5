"""The project's target stand-in with the heartbeat interval of the pages' example."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from standins import heartbeats, platform_target  # noqa: E402

heartbeats.HEARTBEAT_INTERVAL_S = 1.5

if __name__ == "__main__":
    platform_target.main()
