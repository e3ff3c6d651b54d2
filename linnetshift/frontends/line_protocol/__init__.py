"""The platform's line protocol: one request and one established connection per client connection.

A client sends a request line, waits for one answer and, once established, exchanges lines with its endpoint
until either side ends the connection. Source: the platform's wire document.
"""
