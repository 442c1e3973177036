import pytest

from frostpost.testbed.proving import run_proof


@pytest.mark.parametrize("name", ("kill", "all_down", "races", "clocks"))
def test_proof_on_real_processes(name, tmp_path):
    report = run_proof(name, "quick", 0.3, 1, str(tmp_path))
    assert report["breaches"] == []
    assert report["facts"]["stamped"] == [200] * 4
    assert report["after"]["results"].get("served", 0) > 20
    if name == "kill":
        assert all(r["back"] for r in report["facts"]["restarts"])
    if name == "clocks":
        assert report["facts"]["goes_on"] == [True, True]
    if name == "all_down":
        assert report["facts"]["back"]
    if name == "races":
        races = report["facts"]["races"]
        assert [200, 200] not in races and races.count([200, 412]) == 6
        assert report["facts"]["invalid"] == 422
        assert report["facts"]["large"][0] == 200
