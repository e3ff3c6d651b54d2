"""The channels frontend: requests as channels of SSH's connection protocol, without cryptography.

Many requests share one connection, a session, by RFC 4254 over the packets of RFC 4253, without cipher, MAC
and key exchange. Each CHANNEL_OPEN is a request that the broker decides like any other; each served channel
has a connection of its own to its endpoint.
"""
