"""Measurements: the call path, the policy under load, and slopes for the capacity page."""
