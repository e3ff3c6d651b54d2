"""Requests, attempts and outcomes: no wire and no sockets."""
