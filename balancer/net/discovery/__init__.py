"""The servers' list: calls to discovery, its form of the list, and the registry of servers."""
