"""Checks the import rule: one import a line, in three groups (std, other crates, our own)."""

import pathlib
import re
import subprocess
import sys

OWN = re.compile(r"^(crate|super|self|mustardpath(_core|_platform|_standin)?)\b")
USE = re.compile(r"^(pub(\([a-z ]+\))? )?use ([^;]+);?")


def group(path):
    root = path.split("::")[0].strip()
    if root in ("std", "core", "alloc"):
        return 0
    return 2 if OWN.match(path) else 1


def check(name, lines):
    problems = []
    last_group, last_line = -1, -10
    for number, line in enumerate(lines, 1):
        found = USE.match(line)
        if not found or line.startswith("pub use"):
            continue
        path = found.group(3)
        if "{" in path or not line.rstrip().endswith(";"):
            problems.append(f"{name}:{number}: more than one import on a line")
            continue
        here = group(path)
        if number == last_line + 1 and here != last_group:
            problems.append(f"{name}:{number}: groups are not separated by an empty line")
        if number == last_line + 2 and lines[number - 2] == "" and here == last_group:
            problems.append(f"{name}:{number}: one group is split by an empty line")
        if number <= last_line + 2 and here < last_group:
            problems.append(f"{name}:{number}: groups are out of order")
        last_group, last_line = here, number
    return problems


def main():
    names = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard", "*.rs"],
        capture_output=True, text=True, check=True,
    ).stdout.split()
    problems = []
    for name in names:
        if name.endswith("_capnp.rs") or not pathlib.Path(name).exists():
            continue
        problems += check(name, pathlib.Path(name).read_text().split("\n"))
    print("\n".join(problems) or f"{len(names)} files checked")
    return 1 if problems else 0


sys.exit(main())
