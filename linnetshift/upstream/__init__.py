"""Connections to endpoints: one for each attempt, and one for each health check."""
