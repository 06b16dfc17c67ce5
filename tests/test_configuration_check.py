"""Faults of a configuration document must be found before it is sent."""

from __future__ import annotations

import copy
import json
import random
from typing import TYPE_CHECKING
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
import trio

from pimentobridge.cli import main
from pimentobridge.console import differences
from pimentobridge.core import decoding
from pimentobridge.core import types
from pimentobridge.core.jobs import configuration
from pimentobridge.core.jobs import configuration_check
from pimentobridge.platform import http_store
from pimentobridge.platform import operator_configuration
from pimentobridge.platform import submissions
from pimentobridge.testing import store as store_lib

if TYPE_CHECKING:
    import pathlib

VALID: dict[str, Any] = {
    "version": 4,
    "routes": [
        {"name": "a", "hostname": "h", "prefix": "/a", "service": "s"},
        {
            "name": "b",
            "hostname": "h",
            "prefix": "/b",
            "service": "s",
            "sloMs": 500,
            "timeoutMs": 1000,
            "advice": {"decisionMs": 20, "eachMs": 5, "validityMs": 25},
        },
    ],
    "services": [{"name": "s"}],
    "tenants": [
        {"name": "t", "apiKeys": ["secret-1"], "guaranteed": {"gpu": 8}},
        {"name": "u", "apiKeys": ["secret-2"], "guaranteed": {"gpu": 8}},
    ],
    "limits": {"maxBodyBytes": 5000},
}

ROUTE_C = {"name": "c", "hostname": "h", "prefix": "/c", "service": "s"}


def with_value(path: str, value: Any) -> dict[str, Any]:
    """Returns the valid document with one value replaced or appended."""
    document = copy.deepcopy(VALID)
    *parents, last = path.split(".")
    target: Any = document
    for name in parents:
        target = target[int(name) if name.isdecimal() else name]
    if last == "+":
        target.append(value)
    else:
        target[last] = value
    return document


def findings_of(
    document: dict[str, Any], **arguments: Any
) -> list[tuple[str, str]]:
    """Returns severity and place of each finding."""
    listing = operator_configuration.listing(json.dumps(document).encode())
    findings = configuration_check.findings_in(listing, **arguments)
    for finding in findings:
        assert finding.received
        assert finding.accepted
        assert finding.remedy.endswith(".")
    return [
        (
            finding.severity.value,
            operator_configuration.place_name(finding.place),
        )
        for finding in findings
    ]


def test_a_valid_document_has_no_findings() -> None:
    # Limits that are met exactly must not be reported either.
    assert findings_of(VALID, accelerators=16, version_in_force=3) == []


@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        ("version", -1, "version"),
        ("routes.1.service", "gone", "routes[1].service"),
        ("routes.1.name", "a", "routes[1].name"),
        ("services.+", {"name": "s"}, "services[1].name"),
        ("tenants.+", {"name": "t", "apiKeys": ["k"]}, "tenants[2].name"),
        ("tenants.1.apiKeys", ["x", "secret-1"], "tenants[1].apiKeys"),
        ("tenants.1.guaranteed", {"gpu": -1}, "tenants[1].guaranteed.gpu"),
        ("routes.0.priority", -1, "routes[0].priority"),
        ("routes.0.stretchFactor", -0.5, "routes[0].stretchFactor"),
        ("routes.0.maxAttempts", 0, "routes[0].maxAttempts"),
        ("routes.0.hostname", "", "routes[0].hostname"),
        ("routes.0.prefix", "", "routes[0].prefix"),
    ],
)
def test_an_error_is_found_at_its_place(
    path: str, value: Any, place: str
) -> None:
    assert findings_of(with_value(path, value)) == [("error", place)]


@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        ("routes.+", ROUTE_C | {"prefix": "/a"}, "routes[2].prefix"),
        ("routes.0.prefix", "a", "routes[0].prefix"),
        ("services.+", {"name": "idle"}, "services[1]"),
        ("tenants.1.apiKeys", [], "tenants[1].apiKeys"),
        ("tenants.1.guaranteed", {"gpu": "8"}, "tenants[1].guaranteed.gpu"),
        ("tenants.1.guaranteed", {"gpu": 9}, "tenants"),
        ("routes.1.sloMs", 1001, "routes[1].timeoutMs"),
        (
            "routes.1.advice",
            {"decisionMs": 20, "eachMs": 5, "validityMs": 24},
            "routes[1].advice.validityMs",
        ),
        ("limits", {"maxBodyBytes": 4032}, "limits.maxBodyBytes"),
    ],
)
def test_a_warning_is_found_at_its_place(
    path: str, value: Any, place: str
) -> None:
    found = findings_of(with_value(path, value), accelerators=16)
    assert found == [("warning", place)]


def test_a_tenant_without_keys_is_accepted_beside_an_anonymous_route() -> None:
    document = with_value("tenants.1.apiKeys", [])
    document["routes"][0]["allowAnonymous"] = True
    assert findings_of(document) == []


@pytest.mark.parametrize("in_force", [4, 5])
def test_a_version_that_entries_would_ignore_is_an_error(in_force: int) -> None:
    found = findings_of(VALID, version_in_force=in_force)
    assert found == [("error", "version")]


def test_errors_come_before_warnings() -> None:
    document = with_value("services.+", {"name": "idle"})
    document["tenants"][1]["guaranteed"] = {"gpu": -1}
    assert [severity for severity, _ in findings_of(document)] == [
        "error",
        "warning",
    ]


def test_the_smallest_job_has_the_size_that_the_limit_is_checked_with() -> None:
    # A change of the wire format must not leave the check with an old size.
    body = b'{"spec":"","steps":[{"count":1}]}'
    queue = configuration.Queue("q", "h", "/", "s", 1, 2, 1.0, 1.0, 3.0)
    decoded = submissions.decode(
        body,
        job=types.JobId("a" * 16),
        queue=queue,
        account=types.AccountName("t"),
        now_ms=1,
    )
    assert decoded.is_ok()
    assert len(body) == configuration_check.SMALLEST_JOB_BYTES


def test_every_place_has_a_wire_name() -> None:
    # A field without a wire name would end the command with a KeyError.
    for section in configuration_check.Section:
        for field in configuration_check.Field:
            place = configuration_check.Place(section, field)
            assert operator_configuration.place_name(place)


@pytest.mark.parametrize(
    ("path", "value", "place"),
    [
        ("routes.1.sloMs", -1, "routes[1].sloMs"),
        ("tenants.0.apiKeys", [1], "tenants[0].apiKeys[0]"),
        ("routes", None, "routes"),
    ],
)
def test_a_refusal_names_the_place(path: str, value: Any, place: str) -> None:
    data = json.dumps(with_value(path, value)).encode()
    with pytest.raises(decoding.MalformedError) as raised:
        operator_configuration.listing(data)
    assert operator_configuration.place_of_refusal(raised.value) == place


AMOUNTS = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([10**30, -(10**30), 1e300, float("inf")])
    | strategies.text(max_size=4),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), inner)
    ),
    max_leaves=6,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(before=AMOUNTS, after=AMOUNTS)
def test_any_value_that_the_decoder_ignores_can_be_checked(
    before: Any, after: Any
) -> None:
    # The decoder accepts all values among the guarantees, also those that
    # can't be encoded again.
    values = []
    for amount in (before, after):
        document = with_value("tenants.1.guaranteed", {"gpu": amount})
        data = json.dumps(document).replace("Infinity", "1e400").encode()
        try:
            listing = operator_configuration.listing(data)
        except decoding.MalformedError:
            return
        configuration_check.findings_in(listing, accelerators=1)
        values.append(operator_configuration.redacted(data))
    assert differences.describe_changes(values[0], values[0]) == []
    differences.describe_changes(values[0], values[1])


# The command.


@pytest.fixture
def write(tmp_path: pathlib.Path) -> Any:
    """Returns a function that writes a document to a file."""

    def write_document(name: str, document: Any) -> str:
        path = tmp_path / name
        path.write_text(
            document if isinstance(document, str) else json.dumps(document)
        )
        return str(path)

    return write_document


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> store_lib.MemoryStore:
    """Replaces the platform's store by one in memory."""
    memory_store = store_lib.MemoryStore(rng=random.Random(1))
    monkeypatch.setattr(http_store, "HttpStore", lambda _: memory_store)
    return memory_store


def put(store: store_lib.MemoryStore, document: Any) -> None:
    async def put_value() -> None:
        written = await store.compare_and_swap(
            operator_configuration.KEY,
            json.dumps(document).encode(),
            expected_revision=0,
        )
        assert written.is_ok()

    trio.run(put_value)


def check(*arguments: str) -> int:
    return main.main(["config", "check", *arguments])


def test_exit_code_and_text_of_a_valid_document(
    write: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    assert check(write("a", VALID)) == 0
    assert capsys.readouterr().out == "errors: 0, warnings: 0\n"


def test_warnings_alone_leave_the_exit_code_at_0(
    write: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    assert check(write("a", VALID), "--accelerators", "15") == 0
    assert capsys.readouterr().out.endswith("\nerrors: 0, warnings: 1\n")


def test_errors_set_the_exit_code_and_take_one_line_each(
    write: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    # A line break in a name must not be taken for a finding.
    document = with_value("routes.1.service", "x\nerror: y")
    document["routes"][0]["maxAttempts"] = 0
    assert check(write("a", document)) == 1
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 3
    assert lines[0] == (
        "error: routes[0].maxAttempts: received 0; accepted: a number of at"
        " least 1. Correct the number."
    )
    assert lines[-1] == "errors: 2, warnings: 0"


def test_a_difference_takes_one_line(
    write: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    # A line break in a name must not be taken for another difference.
    new = with_value("routes.+", ROUTE_C | {"name": "x\nerror: y"})
    new["version"] = 5
    assert check(write("a", new), "--against", write("b", VALID)) == 0
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 3
    assert lines[1].startswith("difference: x\\nerror: y is added to routes")


def test_a_document_that_cannot_be_decoded_is_an_error(
    write: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write("a", "{")
    assert check(path, "--against", write("b", VALID)) == 1
    assert "error: document: " in capsys.readouterr().out


def test_differences_from_a_file_as_json(
    write: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    new = with_value("routes.+", ROUTE_C)
    new["version"] = 5
    new["routes"][0]["timeoutMs"] = 2000
    new["services"].append({"name": "idle"})
    del new["tenants"][1]
    new["limits"]["maxBodyBytes"] = 6000
    code = check(
        write("new", new),
        "--against",
        write("old", VALID),
        "--format",
        "json",
    )
    report = json.loads(capsys.readouterr().out)
    assert code == 0
    assert (report["errors"], report["warnings"]) == (0, 1)
    assert report["compared_with"] == 4
    assert report["findings"][0]["place"] == "services[1]"
    added_route = report["differences"].pop(2)
    assert added_route.startswith('c is added to routes: {"name":"c",')
    assert report["differences"] == [
        "version changes from 4 to 5",
        "routes[a].timeoutMs changes from 3000.0 to 2000.0",
        "idle is added to services:"
        ' {"name":"idle","enforcesCapacity":true,"standby":false}',
        "u is removed from tenants",
        "limits.maxBodyBytes changes from 5000 to 6000",
    ]


@pytest.mark.parametrize("output_format", ["text", "json"])
def test_keys_are_never_printed(
    write: Any, capsys: pytest.CaptureFixture[str], output_format: str
) -> None:
    new = with_value("tenants.1.apiKeys", ["secret-1", "secret-3"])
    new["tenants"].append({"name": "v", "apiKeys": ["secret-4"]})
    arguments = ["--against", write("b", VALID), "--format", output_format]
    assert check(write("a", new), *arguments) == 1
    captured = capsys.readouterr()
    assert "secret" not in captured.out + captured.err
    assert "tenants[u].apiKeys.count changes from 1 to 2" in captured.out
    assert "tenants[u].apiKeys.digest changes" in captured.out


def test_the_version_in_force_is_read_from_the_store(
    write: Any,
    store: store_lib.MemoryStore,
    capsys: pytest.CaptureFixture[str],
) -> None:
    put(store, VALID)
    path = write("a", with_value("version", 5))
    assert check(path, "--store", "127.0.0.1:1", "--against", "4") == 0
    assert capsys.readouterr().out == (
        "difference: version changes from 4 to 5\n"
        "errors: 0, warnings: 0, differences from version 4: 1\n"
    )
    assert check(write("b", VALID), "--store", "127.0.0.1:1") == 1


def test_a_version_that_is_not_in_force_cannot_be_compared_with(
    write: Any,
    store: store_lib.MemoryStore,
    capsys: pytest.CaptureFixture[str],
) -> None:
    put(store, VALID)
    path = write("a", with_value("version", 5))
    assert check(path, "--store", "127.0.0.1:1", "--against", "3") == 2
    assert "version 4 is in force" in capsys.readouterr().err


def test_a_store_without_answer_or_document_prevents_the_check(
    write: Any,
    store: store_lib.MemoryStore,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = write("a", VALID)
    assert check(path, "--store", "127.0.0.1:1") == 2
    assert "no document under op/config" in capsys.readouterr().err
    store.faults.down = True
    assert check(path, "--store", "127.0.0.1:1") == 2
    assert "store-unavailable" in capsys.readouterr().err


def test_files_that_cannot_be_read_prevent_the_check(
    write: Any, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write("a", VALID)
    assert check(str(tmp_path / "none")) == 2
    assert check(str(tmp_path)) == 2
    assert check(path, "--against", str(tmp_path / "none")) == 2
    assert check(path, "--against", write("b", "{")) == 2
    assert check(path, "--against", "4") == 2
    assert check(path, "--against", path, "--store", "127.0.0.1:1") == 2
    assert capsys.readouterr().out == ""


@pytest.mark.parametrize(
    "arguments",
    [
        ["--accelerators", "-1"],
        ["--accelerators", "many"],
        ["--store", "127.0.0.1:99999"],
        ["--store", "127.0.0.1"],
        ["--store", ""],
        ["--format", "xml"],
    ],
)
def test_bad_arguments_prevent_the_check(
    write: Any, arguments: list[str]
) -> None:
    with pytest.raises(SystemExit) as raised:
        check(write("a", VALID), *arguments)
    assert raised.value.code == 2
