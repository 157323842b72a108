"""Connections to servers: the connection pool, HTTP exchanges and the streaming of bodies."""
