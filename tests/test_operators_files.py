"""Operators' files: all errors are found in one run, with file and line."""

from pathlib import Path
from textwrap import dedent

import pytest

from pimentodrift import configuration
from pimentodrift.keys import digest, new_key
from pimentodrift.operator_files import make_piece
from pimentodrift.operator_rules import check_directories, is_read

EXAMPLES = Path(__file__).parent.parent / "examples"
DIGEST = "ab" * 32


def write(directory: Path, text: str, name: str = "a.yaml") -> Path:
    directory.mkdir(parents=True, exist_ok=True)
    (directory / name).write_text(dedent(text))
    return directory


def workspace(name: str = "w", **changes: str) -> str:
    fields = {"rate": "10", "burst": "20", "groups": "[g]"} | changes
    inner = ", ".join(f"{key}: {value}" for key, value in fields.items() if value)
    return f"{name}: {{{inner}}}"


FAULTS = [
    ({"rate": "0"}, ["invalid-rate"]),
    ({"rate": ".inf"}, ["invalid-rate"]),
    ({"rate": "1" + "0" * 400}, ["wrong-type"]),
    ({"rate": "12000001", "burst": "12000001"}, ["invalid-rate"]),
    ({"rate": "true"}, ["wrong-type"]),
    ({"rate": ""}, ["missing-field"]),
    ({"burst": "0.5"}, ["invalid-burst"]),
    ({"rate": "1000", "burst": "99"}, ["invalid-burst"]),
    ({"rate": "1000", "burst": "100"}, []),
    ({"share": "0"}, ["invalid-share"]),
    ({"share": ".nan"}, ["invalid-share"]),
    ({"brust": "5"}, ["unknown-field"]),
    ({"groups": "[]"}, ["unlisted-group"]),
    ({"groups": "g"}, ["wrong-type"]),
    ({"groups": "[other]"}, ["unlisted-group"]),
    ({"durability": "most"}, ["invalid-durability"]),
    ({"stale_reads": "{h: 5}"}, ["unlisted-group"]),
    ({"stale_reads": "{g: 1.5}"}, ["wrong-type"]),
    ({"stale_reads": "{g: 0}"}, ["invalid-age"]),
    # An age that overflows timedelta would crash every instance that applies it.
    ({"stale_reads": "{g: 100000000000000000}"}, ["invalid-age"]),
    ({"keys": "[abc]"}, ["invalid-digest"]),
    ({"keys": f"[{DIGEST.upper()}]"}, ["invalid-digest"]),
    ({"keys": f"[{DIGEST}, {DIGEST}]"}, ["duplicate-key"]),
    ({"keys": f"[{new_key().text}]"}, ["key-disclosed"]),
    ({"keys": "[12]"}, ["wrong-type"]),
    ({"open_routes": "{r: {group: g, statement: SELECT 1}}"}, []),
    ({"open_routes": "{r: {group: h, statement: SELECT 1}}"}, ["unlisted-group"]),
    ({"open_routes": "{r: {group: g, statement: DELETE FROM t}}"}, ["not-a-read"]),
    ({"open_routes": "{r/s: {group: g, statement: SELECT 1}}"}, ["invalid-name"]),
    ({"open_routes": "{r: {group: g}}"}, ["missing-field"]),
    ({"regions": "[]"}, ["invalid-regions"]),
    ({"regions": "[a, 'b c']"}, ["invalid-regions"]),
    ({"regions": "a"}, ["wrong-type"]),
    ({"regions": "[a, b]"}, []),
    (
        {
            "regions": "[a]",
            "open_routes": "{r: {group: g, statement: SELECT 1, regions: [b]}}",
        },
        ["invalid-regions"],
    ),
    ({"rate": "-1", "share": "-1", "keys": "[x]"}, ["3 findings"]),
]


@pytest.mark.parametrize(("changes", "codes"), FAULTS)
def test_errors_of_a_workspace(
    tmp_path: Path, changes: dict[str, str], codes: list[str]
) -> None:
    """Guards against publishing values that instances cannot apply as intended."""
    text = f"groups: [g]\nworkspaces:\n  {workspace(**changes)}\n"
    findings = check_directories([write(tmp_path / "s", text)]).findings
    if codes == ["3 findings"]:
        assert len(findings) == 3
    else:
        assert [finding.code for finding in findings] == codes
    assert all(finding.line == 3 for finding in findings)


def test_findings_of_several_files_are_reported_together(tmp_path: Path) -> None:
    """Guards against one error hiding others, and against wrong line numbers."""
    first = f"""\
        workspaces:
          {workspace("a", keys=f"[{DIGEST}]")}
          {workspace("b", open_routes="{r: {group: g, statement: SELECT 1}}")}
          {workspace("b")}
        """
    second = f"""\
        # A comment moves the lines.
        workspaces:
          {workspace("a")}
          c:
            rate: 1
            burst: 2
            groups: [g]
            keys:
              - {DIGEST}
            open_routes:
              r: {{group: g, statement: SELECT 2}}
        """
    one = write(tmp_path / "one", first)
    write(one, "- not a mapping", "b.yaml")
    write(one, "workspaces: [", "c.yaml")
    write(one, "workspaces:", "d.yml")
    two = write(tmp_path / "two", second)
    findings = check_directories([one, two, tmp_path / "none"]).findings
    assert [(item.file.name, item.line, str(item.code)) for item in findings] == [
        ("none", 1, "unreadable-file"),
        ("a.yaml", 4, "duplicate-field"),
        ("b.yaml", 1, "wrong-type"),
        ("c.yaml", 1, "invalid-yaml"),
        ("d.yml", 1, "wrong-suffix"),
        ("a.yaml", 3, "duplicate-workspace"),
        ("a.yaml", 9, "duplicate-key"),
        ("a.yaml", 11, "duplicate-route"),
    ]


def test_an_empty_service_is_refused(tmp_path: Path) -> None:
    """Guards against an emptied file that removes a service by mistake."""
    findings = check_directories([write(tmp_path / "s", "workspaces:\n")]).findings
    assert [finding.code for finding in findings] == ["no-workspaces"]


def test_a_disclosed_key_is_not_printed(tmp_path: Path) -> None:
    """Guards against keys in the output of continuous integration."""
    key = new_key()
    text = f"workspaces:\n  {workspace(keys=f'[{key.text}]')}\n"
    (finding,) = check_directories([write(tmp_path / "s", text)]).findings
    assert key.text not in str(finding)
    assert key.digest in finding.text


def test_directories_of_the_same_name_are_refused(tmp_path: Path) -> None:
    """Guards against two services that replace each other's workspaces."""
    directories = []
    for parent in ("x", "y"):
        text = f"workspaces:\n  {workspace(parent)}\n"
        directories.append(write(tmp_path / parent / "s", text))
    codes = [finding.code for finding in check_directories(directories).findings]
    assert codes == ["duplicate-service"]


STATEMENTS = [
    ("SELECT 1", True),
    ("  select 'delete; update' -- insert\n", True),
    ("WITH a AS (SELECT 1) SELECT * FROM a;", True),
    ('SELECT "update", last_update FROM t', True),
    ("SELECT replace(a, 'x', 'y') FROM t", True),
    ("WITH a AS (DELETE FROM t RETURNING *) SELECT * FROM a", False),
    ("SELECT 1; DELETE FROM t", False),
    ("SELECT * INTO u FROM t", False),
    ("SELECT * FROM t FOR UPDATE", False),
    ("INSERT INTO t VALUES (1)", False),
    ("selection", False),
    ("", False),
]


@pytest.mark.parametrize(("statement", "expected"), STATEMENTS)
def test_only_single_reads_are_open_routes(statement: str, expected: bool) -> None:
    """Guards against writes by callers without a key."""
    assert is_read(statement) is expected


@pytest.mark.parametrize("deployment", ["kanitli", "heredia"])
def test_examples_are_read_by_the_configuration(deployment: str) -> None:
    """Guards against pieces that instances cannot read."""
    directories = sorted((EXAMPLES / deployment).iterdir())
    files = check_directories(directories)
    assert files.findings == ()
    built = configuration.build("p", 1, [piece.value for piece in files.pieces()])
    assert len(built.workspaces) == len(built.keys) == 8
    assert len(built.open_routes) == 1


def test_a_piece_does_not_depend_on_order_or_notation(tmp_path: Path) -> None:
    """Guards against a new piece, and a rewritten object, for unchanged content."""
    a, b = workspace("a"), workspace("b", groups="[g, h]")
    c = workspace("b", groups="[h, g]", rate="10.0")
    names = set()
    for number, lines in enumerate([(a, b), (c, a)]):
        text = "workspaces:\n" + "".join(f"  {line}\n" for line in lines)
        (service,) = check_directories(
            [write(tmp_path / str(number) / "s", text)]
        ).services
        names.add(make_piece(service).name)
    assert len(names) == 1


def test_form_of_new_keys() -> None:
    """Guards against keys of a form that callers or operators' files reject."""
    key = new_key()
    assert key.text.startswith("pd_") and len(key.text) == 3 + 43
    assert key.digest == digest(key.text) != digest(new_key().text)


def test_regions_are_published_and_applied(tmp_path: Path) -> None:
    """Guards against a limit that is checked but not in force."""
    routes = "{r: {group: g, statement: SELECT 1, regions: [a]}}"
    text = f"workspaces:\n  {workspace(regions='[b, a]', open_routes=routes)}\n"
    files = check_directories([write(tmp_path / "s", text)])
    built = configuration.build("p", 1, [piece.value for piece in files.pieces()])
    assert built.workspaces["w"].regions == {"a", "b"}
    assert built.open_routes["r"][1].regions == {"a"}
    plain = check_directories(
        [write(tmp_path / "t", f"workspaces:\n  {workspace()}\n")]
    )
    assert "regions" not in plain.pieces()[0].value["workspaces"]["w"]
