"""The world on a virtual clock, hosting decision modules in one process."""
