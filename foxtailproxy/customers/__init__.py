"""Customers: their identity, and the terms under which their requests are served."""
