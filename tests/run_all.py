"""Runs all checks: benchmarks, pytest, behave, ruff and mypy.

Prints one line for each check, with the end of its output if it failed, and
last the line "N passed, N failed". A check listed in KNOWN-RED.txt is run and
printed, but its failures are not counted and don't affect the exit status.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import os
import pathlib
import re
import resource
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
MAX_PARALLEL_CHECKS = 6
# CPU time limit of each process of a check. A limit on wall time would depend
# on how busy the machine is.
CPU_LIMIT_S = 400
# Wall time after which a check is killed: one that hangs without using the CPU
# never reaches CPU_LIMIT_S.
HANG_TIMEOUT_S = 3000
SEED = 1
# Benchmarks with seeds that failed in the past. With `faults` and seed 90217 a
# request ran twice: claims were then decided by votes, not by the store.
REGRESSIONS = [("faults", 90217)]
# Test files that are checks of their own, because they take long; the others
# are divided into groups. The whole suite in one process exceeds CPU_LIMIT_S on
# arm64.
SLOW_TEST_FILES = (
    "tests/test_lab.py",
    "tests/test_lab_checkers.py",
    "tests/test_lab_fault_kinds.py",
    "tests/test_soak.py",
)
TEST_GROUPS = 4
# Tests that measure processes under pressure; they run one at a time, after
# all other checks.
EXCLUSIVE_TESTS = "tests/exclusive"


@dataclasses.dataclass
class CheckResult:
    """Counts and output of one check.

    pytest and behave count their tests and scenarios; any other check counts
    as one.
    """

    name: str
    passed: int
    failed: int
    output: str
    seconds: float


def _run_check(name: str, command: list[str]) -> CheckResult:
    started_s = time.monotonic()
    environment = os.environ | {"PYTHONHASHSEED": "0"}
    try:
        process = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=HANG_TIMEOUT_S,
            check=False,
        )
        output, exit_code = process.stdout + process.stderr, process.returncode
    except subprocess.TimeoutExpired as error:
        output, exit_code = f"hung for {HANG_TIMEOUT_S} s\n{error.stdout}", 1
    passed, failed = _count_results(name, output, exit_code)
    return CheckResult(
        name, passed, failed, output, time.monotonic() - started_s
    )


def _count_results(name: str, output: str, exit_code: int) -> tuple[int, int]:
    """Returns how many tests of a check passed and failed.

    A nonzero exit code without a counted failure counts as one failure.
    """
    if name.startswith("pytest"):
        passed = re.search(r"(\d+) passed", output)
        failed = re.search(r"(\d+) (?:failed|error)", output)
        counts = (
            int(passed.group(1)) if passed else 0,
            int(failed.group(1)) if failed else 0,
        )
        return counts if exit_code == 0 or counts[1] else (counts[0], 1)
    if name == "behave":
        summary = re.search(
            r"(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?", output
        )
        if summary:
            not_passed = int(summary.group(2)) + int(summary.group(3) or 0)
            return int(summary.group(1)), max(not_passed, int(exit_code != 0))
        return 0, 1
    return (1, 0) if exit_code == 0 else (0, 1)


def _commands_by_name() -> dict[str, list[str]]:
    sys.path.insert(0, str(ROOT))
    from pimentobridge.bench import registry

    python = str(BIN / "python")
    seeds = [(name, SEED) for name in registry.NAMES] + REGRESSIONS
    benchmarks = {
        f"bench {name} seed {seed}": [
            python,
            "-m",
            "pimentobridge.cli.main",
            "bench",
            name,
            "--seed",
            str(seed),
        ]
        for name, seed in seeds
    }
    # A single test that is known red is a check of its own.
    red_tests = _red_tests()
    deselected = [f"--deselect={name}" for name in red_tests]
    commands = {
        name: [python, "-m", "pytest", name]
        for name in red_tests
        if not name.startswith(EXCLUSIVE_TESTS)
    }
    commands |= {
        name: [python, "-m", "pytest", *files, *deselected]
        for name, files in _test_files_by_check().items()
    }
    commands |= benchmarks
    return commands | {
        "behave": [str(BIN / "behave"), "--no-color", "-f", "progress"],
        "ruff check": [str(BIN / "ruff"), "check", "."],
        "ruff format": [str(BIN / "ruff"), "format", "--check", "."],
        "mypy": [str(BIN / "mypy")],
    }


def _red_tests() -> list[str]:
    return sorted(
        name for name in _known_red_names() if name.startswith("tests/")
    )


def _test_files_by_check() -> dict[str, list[str]]:
    """Returns the test files of each check that runs pytest."""
    found = sorted(
        str(path.relative_to(ROOT))
        for path in (ROOT / "tests").glob("test_*.py")
    )
    others = [name for name in found if name not in SLOW_TEST_FILES]
    files_by_check = {
        f"pytest {pathlib.Path(name).stem}": [name] for name in SLOW_TEST_FILES
    }
    files_by_check |= {
        f"pytest group {number + 1}": others[number::TEST_GROUPS]
        for number in range(TEST_GROUPS)
    }
    return files_by_check


def _exclusive_commands_by_name() -> dict[str, list[str]]:
    """Returns the checks that run one at a time, after all others."""
    python = str(BIN / "python")
    red_tests = [
        name for name in _red_tests() if name.startswith(EXCLUSIVE_TESTS)
    ]
    deselected = [f"--deselect={name}" for name in red_tests]
    commands = {name: [python, "-m", "pytest", name] for name in red_tests}
    for path in sorted((ROOT / EXCLUSIVE_TESTS).glob("test_*.py")):
        name = str(path.relative_to(ROOT))
        commands[f"pytest {path.stem}"] = [
            python,
            "-m",
            "pytest",
            name,
            *deselected,
        ]
    return commands


def _known_red_names() -> set[str]:
    text = (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8")
    return set(re.findall(r"^TEST: (.+)$", text, flags=re.MULTILINE))


def _report(result: CheckResult, known_red: set[str]) -> int:
    """Prints a check's result; returns how many failures count."""
    is_known_red = result.failed and result.name in known_red
    failure_label = "known red" if is_known_red else "FAILED"
    label = failure_label if result.failed else "ok"
    print(f"{result.name:24} {label:10} {result.seconds:6.1f} s", flush=True)
    if result.failed:
        print(result.output[-6000:])
    return 0 if is_known_red else result.failed


def main() -> int:
    # Child processes inherit the limit; each is charged only its own time.
    resource.setrlimit(resource.RLIMIT_CPU, (CPU_LIMIT_S, CPU_LIMIT_S))
    known_red = _known_red_names()
    passed = failed = 0
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_CHECKS) as pool:
        futures = [
            pool.submit(_run_check, name, command)
            for name, command in _commands_by_name().items()
        ]
        for future in concurrent.futures.as_completed(futures):
            result = future.result()
            passed += result.passed
            failed += _report(result, known_red)
    for name, command in _exclusive_commands_by_name().items():
        result = _run_check(name, command)
        passed += result.passed
        failed += _report(result, known_red)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
