"""Routing decisions: events and settings in, actions out, without clock or I/O of their own."""
