"""Sockets, frontends and peers around the broker."""
