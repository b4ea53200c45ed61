"""The layout holds: no new circle of imports (type checking's included), no new long module."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent / "sagecove"
MOST = 400

# What is still to be taken apart (docs/ROADMAP.md). These lists only shrink: a name that no longer
# belongs here fails the test, too.
LONG = {
    "coordination.provisioner",
    "coordination.workers",
    "lab.fakes",
    "sweeps.blocks",
    "sweeps.manager",
    "sweeps.routes",
}
CIRCLES = [
    # Parts of the owner that are typed by it.
    {
        "coordination." + name
        for name in ("leadership", "owner", "peers", "provisioner", "request_router")
    }
    | {"coordination." + name for name in ("shards", "mirror_sync", "users", "workers")},
    {"sweeps.blocks", "sweeps.manager", "sweeps.model", "sweeps.routes"},
]


def modules() -> dict[str, Path]:
    return {
        ".".join(path.relative_to(ROOT).with_suffix("").parts): path
        for path in ROOT.rglob("*.py")
        if path.name != "__init__.py"
    }


def imports(path: Path, known: set[str]) -> set[str]:
    """Modules of ours that one imports, at its top or below."""
    out = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("sagecove"):
            base = (node.module or "").removeprefix("sagecove").lstrip(".")
            for name in [base, *(f"{base}.{alias.name}".lstrip(".") for alias in node.names)]:
                if name in known:
                    out.add(name)
    return out


def circles(graph: dict[str, set[str]]) -> list[set[str]]:
    """Groups of modules that can all be reached from one another."""

    def reach(start: str) -> set[str]:
        seen: set[str] = set()
        left = [start]
        while left:
            for name in graph[left.pop()] - seen:
                seen.add(name)
                left.append(name)
        return seen

    reached = {name: reach(name) for name in graph}
    found: list[set[str]] = []
    for name, there in reached.items():
        group = {other for other in there if name in reached[other]}
        if group and group not in found:
            found.append(group)
    return found


def test_no_module_is_long_but_those_to_be_taken_apart() -> None:
    lines = {name: len(path.read_text().splitlines()) for name, path in modules().items()}
    assert {name for name, count in lines.items() if count > MOST} == LONG


def test_no_circle_of_imports_but_those_to_be_taken_apart() -> None:
    paths = modules()
    graph = {name: imports(path, set(paths)) for name, path in paths.items()}
    assert sorted(map(sorted, circles(graph))) == sorted(map(sorted, CIRCLES))


def test_a_circle_is_found() -> None:
    assert circles({"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}) == [{"a", "b", "c"}]
