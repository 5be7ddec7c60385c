"""The command line, and the formats of a configuration file."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucenotch import settings
from sprucenotch.config import schema, toml, units
from sprucenotch.node import config
from sprucenotch.settings import SettingsError
from sprucenotch.testbed import plan
from sprucenotch.testbed.environment import Environment
from sprucenotch.testbed.injection import FaultInjector
from sprucenotch.testbed.named_faults import FaultSwitches
from tests.sidecar import SETTINGS, configuration, run

ROOT = Path(__file__).parent.parent
EXAMPLE = ROOT / "deploy" / "example.toml"


def run_command(*words: str, environment: dict[str, str] | None = None) -> tuple[int, str, str]:
    """Run a command; the exit code, standard output and standard error."""
    environ = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")} | (environment or {})
    command = (sys.executable, "-m", "sprucenotch", *words)
    done = subprocess.run(command, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=60)
    return done.returncode, done.stdout, done.stderr


@pytest.fixture
def config_file(tmp_path: Path) -> Path:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration("127.0.0.1:9")))
    return path


@given(st.integers(0, 10**18), st.sampled_from((units.NANOSECONDS, units.BYTES)))
def test_parsed_unit_text_equals_the_value_that_was_formatted(value: int, known: dict[str, int]) -> None:
    assert units.parse(units.format_value(value, known), known) == value


def test_toml_and_json_formats_give_the_same_configuration() -> None:
    content = toml.decode(EXAMPLE.read_bytes())
    parsed = config.parse(content)
    by_name = {c.name: c for c in parsed.settings.classes}
    assert (by_name["place-order"].window, by_name["price-check"].aim) == (15 * 10**9, 400 * 10**6)
    assert (parsed.memory, parsed.connect_timeout) == (64_000_000, 200_000_000)
    assert config.parse(json.loads(json.dumps(content))) == parsed


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ('aim = "400ms"', 'aim = "400"', "settings.categories[0].aim is '400', where a time such as 400ms"),
        ('aim = "400ms"', 'aimm = "400ms"', "settings.categories[0].aimm is not known; aim is"),
        ("max_attempts = 3", "max_attempts = 0", "a number of at least 1"),
        ("probes = true", "probes = 1", "settings.limits.probes is 1, where true or false is allowed"),
        ('memory = "64MB"', "memory = 64", "a size such as 64MB"),
        ("cold_from = 0.2", "cold_from = inf", "a number of at least 0"),
        ("[limits]", "[limits", "not TOML"),
    ],
)
def test_error_in_toml_names_its_path(old: str, new: str, said: str, tmp_path: Path) -> None:
    broken = tmp_path / "broken.toml"
    broken.write_text(EXAMPLE.read_text().replace(old, new, 1))
    with pytest.raises(config.ConfigError) as caught:
        config.read(str(broken))
    assert said in str(caught.value)


@pytest.mark.parametrize(
    ("name", "generate"),
    [("config.schema.json", schema.json_form), ("config.toml.schema.json", schema.toml_form)],
)
def test_shipped_schema_equals_the_generated_one(name: str, generate: Any) -> None:
    assert json.loads((ROOT / "docs" / name).read_text()) == generate()


def test_config_show_lists_every_value_with_its_source(config_file: Path) -> None:
    code, said, _ = run_command(
        "config", "show", "--json", str(config_file), environment={"PROXY_MGMT": "127.0.0.1:7"}
    )
    rows = json.loads(said)
    assert code == 0
    assert rows["mgmt"] == {"value": "127.0.0.1:7", "source": "PROXY_MGMT"}
    assert rows["settings.categories[0].aim"] == {"value": "2s", "source": "file"}
    assert rows["settings.rules.ask_within"] == {"value": "10s", "source": "default"}
    fields = len(msgspec.structs.fields(settings.Category)) * len(SETTINGS["Categories"])
    assert len([path for path in rows if path.startswith("settings.categories[")]) == fields


def test_config_diff_shows_what_a_reload_would_apply(config_file: Path, tmp_path: Path) -> None:
    content, new = json.loads(config_file.read_text()), tmp_path / "new.json"
    content["settings"]["Limits"]["MaxAttempts"] = 2
    content["listen"] = "127.0.0.1:9"
    new.write_text(json.dumps(content))
    code, said, _ = run_command("config", "diff", str(config_file), str(new))
    assert code == 0 and said.splitlines()[-1] == "SIGHUP would apply it"
    assert "settings.limits.max_attempts: 5 -> 2\n" in said
    assert "listen: 127.0.0.1:0 -> 127.0.0.1:9  (not before the next start)" in said
    del content["settings"]["Limits"]["Probes"]
    new.write_text(json.dumps(content))
    code, said, _ = run_command("config", "diff", str(config_file), str(new))
    assert code == 1 and "reject it: settings.Limits.Probes is missing" in said


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (("config", "check", "/nowhere"), 2),
        (("config", "check"), 2),
        (("config", "check", str(ROOT)), 2),
        (("config", "check", str(ROOT / "README.md")), 2),
        (("serve",), 2),
        (("serve", "/nowhere.toml"), 2),
        (("nonsense",), 2),
    ],
)
def test_bad_input_gives_one_error_line_and_an_exit_code(words: tuple[str, ...], code: int) -> None:
    ended, said, stderr = run_command(*words)
    assert (ended, said, stderr.count("\n")) == (code, "", 1)
    assert stderr.startswith("sprucenotch: ")


def test_sidecar_imports_neither_command_line_nor_testbed() -> None:
    code = "import sys, sprucenotch.__main__, sprucenotch.node.serve; print(*sys.modules)"
    done = subprocess.run((sys.executable, "-c", code), cwd=ROOT, capture_output=True, text=True, check=True)
    own = {f"sprucenotch.{part}" for part in ("cli", "config", "testbed", "sim", "node.metrics")}
    assert not set(done.stdout.split()) & ({"typer", "rich", "tomllib", "json"} | own)


def test_status_shows_a_running_sidecar_and_reports_one_that_does_not_answer() -> None:
    async def test() -> None:
        demo_plan = plan.Plan("", 1.0, 0.0, plan.Fleet(sidecars=1, engines=3), plan.Load(), plan.CLASSES)
        async with Environment(demo_plan, seed=1) as environment:
            mgmt = environment.sidecars["sidecar-0"].mgmt
            code, said, _ = await asyncio.to_thread(run_command, "status", "--json", mgmt)
            content = json.loads(said)
            assert (code, content["ready"], content["telemetry"]["known_quote_engines"]) == (0, True, 3)
            assert content["metrics"]["engines/known"] == 3
            code, said, _ = await asyncio.to_thread(run_command, "status", mgmt)
            assert code == 0 and "ready" in said and "place-order" in said
        ended, _, stderr = run_command("status", mgmt)
        assert ended == 3 and stderr.startswith(f"sprucenotch: no answer from {mgmt}")

    run(test())


def test_address_in_use_gives_one_error_line_and_exit_code_3(config_file: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        content = json.loads(config_file.read_text()) | {"listen": f"127.0.0.1:{taken.getsockname()[1]}"}
        config_file.write_text(json.dumps(content))
        ended, said, stderr = run_command("serve", str(config_file))
    assert (ended, said) == (3, "") and "in use" in stderr and "Traceback" not in stderr


def test_demo_runs_and_stops_by_itself() -> None:
    code, said, _ = run_command("demo", "--for", "3", "--json", "--trouble", "errors", "--load", "0.4")
    content = json.loads(said)
    assert code == 0 and set(content["classes"]) == {"price-check", "place-order"}
    assert all(outcomes["served"] > 0 for outcomes in content["classes"].values())


def test_overlapping_named_faults_end_without_a_trace() -> None:
    async def test() -> None:
        demo_plan = plan.Plan("", 1.0, 0.0, plan.Fleet(sidecars=1, engines=6), plan.Load(), plan.CLASSES)
        async with Environment(demo_plan, seed=1) as environment:
            faults = FaultInjector(environment)
            troubles, others = FaultSwitches(faults), FaultSwitches(faults)
            for turned in (troubles, others):
                for name in ("slow", "dead", "surge"):
                    await turned.switch(name, True)
            engines = environment.engines.values()
            down, slow = sum(not e.up for e in engines), sum(e.slower > 1 for e in engines)
            assert 2 <= down <= 4 and 2 <= slow <= 4 and faults.load == 9.0
            for name in ("surge", "dead", "slow"):
                await troubles.switch(name, False)
                await others.switch(name, False)
            assert all(e.up and e.slower == 1 for e in engines) and faults.load == 1.0

    run(test())


def test_optional_section_has_units_and_errors_by_path() -> None:
    raw = EXAMPLE.read_bytes() + b'\n[state]\ndir = "/srv/one"\nsync = "2s"\n'
    assert toml.decode(raw)["state"] == {"dir": "/srv/one", "sync_ns": 2 * 10**9}
    for line, said in (
        (b'mode = "often"\n', "state.mode is 'often'"),
        (b"synk = 1\n", "state.synk is not known; sync"),
    ):
        with pytest.raises(SettingsError, match=said):
            toml.decode(raw + line)
