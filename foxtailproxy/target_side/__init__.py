"""Decisions of the node beside a target that protect the target."""
