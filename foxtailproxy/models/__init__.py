"""Models generated from the schemas by `tools/generate_models.sh`."""
