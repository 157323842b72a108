"""The node: runs the policy on real sockets."""
