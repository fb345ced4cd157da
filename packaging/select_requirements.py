"""Writes to deploy/requirements.txt the pinned packages that a platform instance needs.

The pins are selected from requirements.lock: the packages in deploy/requirements.in
with all their dependencies. Run it in the virtual environment, since dependencies are
read from the installed packages.
"""

import re
from importlib.metadata import requires
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PINNED_PACKAGE = re.compile(r"^(?P<name>[A-Za-z0-9._-]+)==", re.MULTILINE)


def normalized(name: str) -> str:
    """Return the normalized name of a package."""
    return re.sub(r"[-_.]+", "-", name).lower()


def with_dependencies(names: list[str]) -> set[str]:
    """Return the packages with all their direct and indirect dependencies."""
    found: set[str] = set()
    while names:
        name = normalized(names.pop())
        if name in found:
            continue
        found.add(name)
        for line in requires(name) or ():
            if "extra ==" not in line and "python_version <" not in line:
                names.append(re.split(r"[^A-Za-z0-9._-]", line, maxsplit=1)[0])
    return found


def main() -> None:
    """Write deploy/requirements.txt."""
    lock = (ROOT / "requirements.lock").read_text()
    starts = [match.start() for match in PINNED_PACKAGE.finditer(lock)]
    ends = [*starts[1:], len(lock)]
    lines = (ROOT / "deploy/requirements.in").read_text().splitlines()
    wanted = with_dependencies(
        [line for line in lines if line and not line.startswith("#")]
    )
    parts = []
    for start, end in zip(starts, ends, strict=True):
        match = PINNED_PACKAGE.match(lock, start)
        if match is not None and normalized(match["name"]) in wanted:
            kept = [
                line
                for line in lock[start:end].splitlines()
                if not line.lstrip().startswith("#")
            ]
            parts.append("\n".join(kept).rstrip())
    (ROOT / "deploy/requirements.txt").write_text("\n".join(parts) + "\n")


if __name__ == "__main__":
    main()
