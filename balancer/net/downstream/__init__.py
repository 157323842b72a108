"""The downstream side of the node: client connections, request parsing, pending requests and responses."""
