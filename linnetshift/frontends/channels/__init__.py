"""The channels frontend: requests as channels of SSH's connection protocol, without cryptography.

Many requests share one connection, a session, by RFC 4254 over the packets of RFC 4253, without cipher, MAC
and key exchange. The broker handles each CHANNEL_OPEN like any other request; each established channel has
its own connection to its endpoint.
"""
