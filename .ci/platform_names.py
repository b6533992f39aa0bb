"""Checks that names of the users' platform stand only in platform/ and deploy/."""

import re
import subprocess
import sys

NAMES = re.compile(
    r"pathPrefix|fencingToken|lastSeen|deadlineMs|clockMs|memMb|rackSensitive|antiAffinity"
    r"|maxAttempts|apiKeys|keyed\.(op|servers)|X-(Lease-Holder|Fencing-Token|Expected-Instance)"
    r"|/v1/(hold|run-st|pace|advise|log-|machine|ready)",
    re.IGNORECASE,
)


def main():
    names = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard", "*.rs"],
        capture_output=True, text=True, check=True,
    ).stdout.split()
    problems = []
    for name in names:
        if name.startswith("platform/") or name.endswith("_capnp.rs"):
            continue
        with open(name) as file:
            for number, line in enumerate(file, 1):
                if NAMES.search(line):
                    problems.append(f"{name}:{number}: {line.strip()}")
    print("\n".join(problems) or f"{len(names)} files checked")
    return 1 if problems else 0


sys.exit(main())
