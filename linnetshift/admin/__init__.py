"""The administrative HTTP interface under /ops: readiness, resource usage, administrative drains."""
