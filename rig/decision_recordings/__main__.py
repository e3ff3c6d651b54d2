"""Record the decisions again, from the root: `python -m rig.decision_recordings [SCENARIO ...]`."""

from __future__ import annotations

import sys

from rig.decision_recordings.recorder import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
