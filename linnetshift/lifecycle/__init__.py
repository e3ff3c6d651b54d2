"""Graceful shutdown, reload and hot restart."""
