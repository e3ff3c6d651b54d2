"""The administrative interface, /ops."""
