from tests import test_cli
from wayslip import story


def line(source, at, name, **fields):
    pairs = " ".join(f"{k}={v}" for k, v in fields.items())
    return f"  1.0 {source} time={at} level=info logger=x event={name} {pairs}"


LINES = [
    line("i-1", 101.000, "chosen", request="r1", model="m1", endpoint="e1"),
    line("i-1", 101.050, "chosen", request="r2", model="m2", endpoint="e2"),
    line(
        "i-2", 100.900, "load_planned", endpoint="e9", model="m3", victims="m1"
    ),
    line("i-2", 100.950, "load_planned", endpoint="e9", model="m8"),
    line("i-1", 101.100, "endpoint_refused", request="r1", endpoint="e1"),
    line(
        "i-1", 101.101, "ended", request="r1", outcome="not_taken", model="m1"
    ),
    line("i-3", 101.000, "store_lost", kind="config"),
    line("i-1", 101.020, "store_lost", reason='"a \\"b\\""'),
    "some line of another program",
]
LOG = "\n".join(LINES)


def test_line_is_parsed_with_its_source():
    event = story.parse_line(LINES[7])
    assert event.source.split()[-1] == "i-1"
    assert event.fields["reason"] == 'a "b"'
    assert story.parse_line("some line of another program") is None


def test_story_has_own_events_and_related_context():
    found = story.build_story("r1", LINES)
    assert [e.name for e in found.events] == [
        "chosen",
        "endpoint_refused",
        "ended",
    ]
    assert found.outcome == "not_taken"
    # Only the eviction of its model and the store outage of its instance.
    assert [(e.name, e.fields.get("model")) for e in found.context] == [
        ("load_planned", "m3"),
        ("store_lost", None),
    ]
    assert story.find_decision(found).name == "endpoint_refused"


def test_formatted_story_explains_the_outcome():
    text = story.format_story(story.build_story("r1", LINES))
    assert "* " in text and "endpoint_refused" in text
    assert text.endswith("the endpoint refused it; it was not run")


def test_unknown_request_has_no_story():
    assert story.build_story("r9", LINES) is None


def test_command_reads_files(tmp_path):
    path = tmp_path / "log"
    path.write_text(LOG)
    done = test_cli.run("ctl", "explain", "r1", str(path))
    assert done.returncode == 0, done.stderr
    assert "outcome: not_taken" in done.stdout
    done = test_cli.run("ctl", "explain", "r9", str(path))
    assert done.returncode == 2
    assert "give the logs of all instances" in done.stderr


def test_story_of_a_blocked_request_shows_the_crashes():
    content = "215695fbc3d99a42a0432ba76ef8b10c"
    lines = [
        line("i-2", 10.0, "endpoint_ended", endpoint="e1", contents="215695fb"),
        line("i-2", 11.0, "endpoint_ended", endpoint="e2", contents="0a,1b"),
        line("i-3", 40.0, "content_condemned", content=content, ends="e1,e7"),
        line(
            "i-1",
            101.0,
            "ended",
            request="r1",
            outcome="ends_endpoints",
            content=content,
        ),
    ]
    found = story.build_story("r1", lines)
    assert [e.name for e in found.context] == [
        "endpoint_ended",
        "content_condemned",
    ]
    assert "endpoints crashed under the same request" in story.format_story(
        found
    )
