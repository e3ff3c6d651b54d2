"""Routing decisions driven by the simulator: the codec of its wire, and the adapter that runs instances."""
