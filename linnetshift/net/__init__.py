"""Sockets, fronts and peers around the broker."""
