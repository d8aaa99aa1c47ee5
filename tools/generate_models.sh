#!/usr/bin/env bash
# Generates the Python models from the JSON schemas. Usage: tools/generate_models.sh [OUTPUT_FOLDER]
set -euo pipefail
out="${1:-foxtailproxy/models}"
mkdir -p "$out"
for name in settings rules messages; do
  datamodel-codegen \
    --input "foxtailproxy/schema/$name.schema.json" --input-file-type jsonschema \
    --output "$out/$name.py" --output-model-type msgspec.Struct \
    --disable-timestamp --use-schema-description --use-field-description \
    --target-python-version 3.11 --use-annotated --use-union-operator --use-standard-collections \
    --formatters black 2>/dev/null
  # Every optional field has a default, so the type of unset fields is removed.
  sed -i -e '/^ *| UnsetType$/d' -e 's/ | UnsetType\b//' "$out/$name.py"
  sed -i -e '1,2d' -e 's/UNSET, UnsetType, //; s/, UNSET, UnsetType$//; s/, UnsetType, /, /' "$out/$name.py"
  # Records sent in datagrams or with each call are encoded as arrays, without field names.
  for record in GossipPacket MemberRecord CrashReport CallHead LoadQuery LoadAnswer \
    AllowanceUse AllowanceReport AllowanceLevel AllowanceAnswer RegionDemand AllowanceDemand; do
    sed -i -e "s/^class $record(Struct):/class $record(Struct, array_like=True):/" "$out/$name.py"
  done
  sed -i -e "1i \"\"\"Models generated from \`schema/$name.schema.json\`.\"\"\"" "$out/$name.py"
done
black -q --config pyproject.toml --skip-magic-trailing-comma "$out"
# The generator writes the default of a field of bytes as text.
sed -i -e '/^ *bytes,$/,/\] = ""/ s/\] = ""/] = b""/' "$out/messages.py"
