"""Entry point of `python -m linnetshift.simulation`, the `sim` command of the deploy file."""

import sys

from linnetshift.simulation.adapter import main

if __name__ == "__main__":
    sys.exit(main())
