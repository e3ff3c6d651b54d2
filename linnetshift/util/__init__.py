"""General-purpose helpers that depend on nothing else in the project."""
