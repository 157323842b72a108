"""The model in real time: its servers, discovery and clients on loopback sockets, around real nodes."""
