"""The world in real time: its servers, discovery and clients on loopback sockets, around real nodes."""
