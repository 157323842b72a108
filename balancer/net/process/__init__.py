"""The node as a process: lifecycle, handover, budgets, event queue, management, log and counters."""
