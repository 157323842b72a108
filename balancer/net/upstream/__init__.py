"""The side of the servers: connection pool, exchanges and the streaming of bodies."""
