"""Models generated from the schemas; see `tools/generate_models.sh`."""
