"""Settings of a node and the operators' configuration: reading, checking, building, printing."""
