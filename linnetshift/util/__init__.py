"""Helpers that belong to no single concern and depend on nothing else in the project."""
