"""Discovery: the list of endpoints, fetched and watched over HTTP."""
