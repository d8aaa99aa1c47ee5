"""Customers: their identity and their allowances over all nodes."""
