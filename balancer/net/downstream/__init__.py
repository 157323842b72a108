"""The side of the clients: their connections, request parsing, requests in flight and responses."""
