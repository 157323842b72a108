"""Tables and plots of what was played."""
