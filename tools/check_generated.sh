#!/usr/bin/env bash
# Checks that the committed models and settings reference match the schemas.
set -euo pipefail
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
tools/generate_models.sh "$folder/models"
for name in settings rules messages; do
  diff -u "foxtailproxy/models/$name.py" "$folder/models/$name.py"
done
python tools/settings_reference.py > "$folder/settings.md"
diff -u docs/user-guide/settings.md "$folder/settings.md"
