"""Routing decisions: pure, told of time and events, without I/O."""
