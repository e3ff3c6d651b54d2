"""Connections to endpoints: attempts and health checks."""
