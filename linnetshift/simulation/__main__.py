"""`python -m linnetshift.simulation`: the decisions on the simulator's wire."""

import sys

from linnetshift.simulation.adapter import main

if __name__ == "__main__":
    sys.exit(main())
