"""VRRP (RFC 9568) over UDP."""
