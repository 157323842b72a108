"""Emulation in real time: the model's servers, discovery and clients on loopback sockets, with real nodes."""
