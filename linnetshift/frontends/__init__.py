"""The servers that clients connect to: the line protocol and the channels protocol."""
