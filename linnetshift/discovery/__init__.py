"""The list of endpoints, fetched and watched over HTTP."""
