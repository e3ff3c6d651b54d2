"""VRRP version 3 (RFC 9568) over UDP: decides which of several proxies serves the channels frontend."""
