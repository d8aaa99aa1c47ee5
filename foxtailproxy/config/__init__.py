"""Node settings and the operators' configuration: parsing, validation, building, formatting."""
