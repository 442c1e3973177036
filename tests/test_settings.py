import subprocess
import sys

import pytest

VALID_SETTINGS = """
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


def check_settings(tmp_path, text, *flags):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return subprocess.run(
        [sys.executable, "-m", "frostpost", "serve", str(path), "--check", *flags], capture_output=True, text=True
    )


def test_valid_settings_pass_check(tmp_path):
    assert check_settings(tmp_path, VALID_SETTINGS).returncode == 0


@pytest.mark.parametrize(
    "change,path",
    [
        ('colour = "red"\n', "colour"),
        ("[bounds]\nspeed = 1\n", "speed"),
        ("[bounds]\nlease_ms = 1900\n", "bounds.lease_ms"),
        ("[bounds]\nwindow = 0\n", "bounds.window"),
        ('[doors]\nlag_ms = "slow"\n', "lag_ms"),
    ],
)
def test_invalid_setting_is_reported_with_path_and_exit_status(tmp_path, change, path):
    result = check_settings(tmp_path, VALID_SETTINGS + change)
    assert result.returncode == 78 and "SettingsInvalid" in result.stderr and path in result.stderr


@pytest.mark.parametrize(
    "flags,path",
    [
        (("--role", "king"), "role"),
        (("--seed", "localhost:1"), "seeds[0]"),
        (("--host", "here"), "host"),
    ],
)
def test_overriding_flags_are_checked(tmp_path, flags, path):
    result = check_settings(tmp_path, VALID_SETTINGS, *flags)
    assert result.returncode == 78 and path in result.stderr


def test_unknown_flag_is_rejected(tmp_path):
    assert check_settings(tmp_path, VALID_SETTINGS, "--fast").returncode != 0
