"""The discovery client, the server list that it receives and the registry of servers."""
