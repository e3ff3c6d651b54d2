"""Requests as channels of SSH's connection protocol, without cryptography."""
