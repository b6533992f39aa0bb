#!/bin/sh
# Checks that the stand-ins and the scripts of the cases compile. They are Python files without
# dependencies, so nothing else has to be built.
cd "$(dirname "$0")" || exit 2
exec python3 -B -c '
import pathlib
for path in [*pathlib.Path("standin").glob("*.py"), *pathlib.Path(".").glob("[1-5]/*.py")]:
    compile(path.read_text(), str(path), "exec")
    print(f"{path}: ok")
'
