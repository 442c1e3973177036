import subprocess
import sys

import pytest

GOOD = """
name = "s1"
role = "storage"
zone = "a"
host = "127.0.0.1"
port = 7001
http_port = 8001
seeds = ["127.0.0.1:7001"]
voters = ["s1"]
data = "data"
"""


def check(tmp_path, text, *flags):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return subprocess.run(
        [sys.executable, "-m", "frostpost", "serve", str(path), "--check", *flags], capture_output=True, text=True
    )


def test_good_settings_pass(tmp_path):
    assert check(tmp_path, GOOD).returncode == 0


@pytest.mark.parametrize(
    "change,where",
    [
        ('colour = "red"\n', "colour"),
        ("[bounds]\nspeed = 1\n", "speed"),
        ("[bounds]\nlease_ms = 1900\n", "bounds.lease_ms"),
        ("[bounds]\nwindow = 0\n", "bounds.window"),
        ('[doors]\nlag_ms = "slow"\n', "lag_ms"),
    ],
)
def test_faults_are_exact_and_nothing_starts(tmp_path, change, where):
    done = check(tmp_path, GOOD + change)
    assert done.returncode == 78 and "SettingsInvalid" in done.stderr and where in done.stderr


@pytest.mark.parametrize(
    "flags,where",
    [
        (("--role", "king"), "role"),
        (("--seed", "localhost:1"), "seeds[0]"),
        (("--host", "here"), "host"),
    ],
)
def test_flags_are_checked_like_the_file(tmp_path, flags, where):
    done = check(tmp_path, GOOD, *flags)
    assert done.returncode == 78 and where in done.stderr


def test_unknown_flag_is_turned_away(tmp_path):
    assert check(tmp_path, GOOD, "--fast").returncode != 0
