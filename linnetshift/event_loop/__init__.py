"""The event loop and what runs on it: timers, actors, streams, connection limits."""
