import hemlocktiller


def test_version_matches_the_package():
    assert hemlocktiller.__version__ == "0.1.0"
