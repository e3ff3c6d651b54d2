"""Configuration files."""
