"""Requests, attempts and outcomes, in no particular wire."""
