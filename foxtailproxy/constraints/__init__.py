"""Constraints on where a request may run: allowed regions and evacuated data centres."""
