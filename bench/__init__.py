"""Benchmarks: the call path, the policy under load, and cost slopes for the capacity page."""
