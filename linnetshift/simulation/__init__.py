"""Routing decisions driven by the simulator: its wire, and the adapter that runs many instances."""
