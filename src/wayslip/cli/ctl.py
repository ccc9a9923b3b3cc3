"""Command line for operators.

Usage:
  wayslipctl [options] apply FILE
  wayslipctl [options] plan PLAN
  wayslipctl [options] confirm PLAN [--wait=SECONDS]
  wayslipctl [options] cancel PLAN
  wayslipctl [options] plans
  wayslipctl [options] status
  wayslipctl [options] models
  wayslipctl [options] endpoints
  wayslipctl [options] dump INSTANCE
  wayslipctl [options] drain INSTANCE
  wayslipctl [options] explain REQUEST [LOG ...]
  wayslipctl [options] report [--by=FIELD] [LOG ...]
  wayslipctl [options] suspects
  wayslipctl [options] lift CONTENT
  wayslipctl --help

Commands:
  apply      Create a plan from a file; nothing changes yet.
  plan       Show a plan: steps, cost, effect on callers, progress.
  confirm    Put a plan into force, unless its basis has changed.
  cancel     Cancel a plan that has not been confirmed.
  plans      List the plans.
  status     Show members, configuration, and items that are not resident.
  models     List the names that callers can use, and where they are ready.
  endpoints  List endpoints with their memory and phase.
  dump       Show the state of both daemons of an instance.
  drain      Start the planned stop of an instance.
  explain    Show from instances' logs what happened to a request; reads files,
             or standard input. The line that decided its outcome is marked *.
  report     Summarize from instances' logs how requests ended, and why some
             were not answered; reads files, or standard input.
  suspects   List requests, by content digest, that endpoints crashed under;
             ask any gateway with --url. Those marked * are blocked.
  lift       Unblock such a request at all gateways.

Options:
  --url=URL        Operators' port of any control [default: http://127.0.0.1:9080].
  --key-file=FILE  File with the operator's key; by default the environment
                   variable WAYSLIP_KEY is used.
  --json           Print JSON.
  --timeout=S      Seconds to wait for an answer [default: 15].
  --wait=SECONDS   After confirming, longest wait for the steps to be done.
  --by=FIELD       Group by route, organisation, model, endpoint, instance or
                   second [default: route].
  --help           Show this text.

Exit codes:
  0  done                       3  refused: the plan's basis has changed, or
  1  the control failed            it was confirmed or cancelled by another
  2  the command or file is     4  no control answered; asking again is safe
     wrong                      5  not done within --wait
"""

import dataclasses
import json
import os
import pathlib
import sys
import time
from typing import Any
import urllib.parse

import docopt
import urllib3

from wayslip import errors
from wayslip import report
from wayslip import story

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4
EXIT_TIMED_OUT = 5

_EXIT_BY_STATUS = {
    400: EXIT_USAGE,
    401: EXIT_USAGE,
    404: EXIT_USAGE,
    409: EXIT_REFUSED,
}
_POLL_SECONDS = 0.2
_MIB = 1 << 20


class Control:
    """Client of the operators' port of a control or gateway."""

    def __init__(self, url: str, key: str, timeout: float) -> None:
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {key}"}
        self._http = urllib3.PoolManager(retries=False, timeout=timeout)

    def call(self, method: str, path: str, body: bytes = b"") -> "Reply":
        """Returns the reply to a call.

        Raises:
            WayslipError: There was no answer, or it was not JSON.
        """
        try:
            response = self._http.request(
                method,
                f"{self._url}{path}",
                body=body or None,
                headers=self._headers,
            )
        except urllib3.exceptions.HTTPError as e:
            raise errors.WayslipError(
                f"{self._url} does not answer ({type(e).__name__})",
                "try another instance with --url; asking again is safe",
            ) from e
        try:
            return Reply(response.status, json.loads(response.data))
        except ValueError as e:
            raise errors.WayslipError(
                f"{self._url} did not send JSON",
                "check that it is an operators' port",
            ) from e


class Reply:
    """The answer to a call."""

    def __init__(self, status: int, value: Any) -> None:
        self.status = status
        self.value = value

    @property
    def exit_code(self) -> int:
        """The program's exit code for this answer."""
        if self.status < 400:
            return 0
        return _EXIT_BY_STATUS.get(self.status, EXIT_FAILED)


def main() -> None:
    """Runs the program."""
    assert __doc__ is not None
    options = docopt.docopt(__doc__)
    try:
        sys.exit(_run(options))
    except errors.BadRequestError as e:
        print(e, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except errors.WayslipError as e:
        print(e, file=sys.stderr)
        sys.exit(EXIT_UNREACHABLE)


def _run(options: Any) -> int:
    try:
        timeout = float(options["--timeout"])
        wait = float(options["--wait"] or 0)
    except ValueError as e:
        raise errors.BadRequestError(
            "--timeout or --wait is not a number", "give seconds"
        ) from e
    if options["explain"]:
        return _explain(options)
    if options["report"]:
        return _report(options)
    key = "" if _asks_gateway(options) else _read_key(options)
    control = Control(options["--url"], key, timeout)
    method, path, body = _choose_call(options)
    reply = control.call(method, path, body)
    if options["confirm"] and reply.status < 400 and wait:
        reply = _wait(control, options["PLAN"], wait, reply)
    if options["--json"]:
        print(json.dumps(reply.value, indent=1))
    else:
        _print(options, reply)
    if reply.exit_code:
        return reply.exit_code
    unfinished = options["confirm"] and wait and not _is_done(reply.value)
    return EXIT_TIMED_OUT if unfinished else 0


def _explain(options: Any) -> int:
    """Prints what the logs show about a request."""
    found = story.build_story(options["REQUEST"], _read_logs(options))
    if found is None:
        raise errors.BadRequestError(
            f"no log line contains request {options['REQUEST']}",
            "give the logs of all instances around the request's time",
        )
    if options["--json"]:
        print(json.dumps(dataclasses.asdict(found), indent=1))
    else:
        print(story.format_story(found))
    return 0


def _report(options: Any) -> int:
    """Prints a summary of how requests ended, from logs."""
    groups = report.summarize(_read_logs(options), options["--by"])
    if options["--json"]:
        print(json.dumps([dataclasses.asdict(g) for g in groups], indent=1))
    else:
        print(report.format_groups(groups, options["--by"]))
    return 0


def _read_logs(options: Any) -> list[str]:
    """Returns the lines of the given logs, or of standard input."""
    if not options["LOG"]:
        return sys.stdin.read().splitlines()
    texts = [_read(path).decode(errors="replace") for path in options["LOG"]]
    return [x for text in texts for x in text.splitlines()]


def _asks_gateway(options: Any) -> bool:
    """Whether a command calls a gateway, whose operators' port needs no key."""
    return bool(options["suspects"] or options["lift"])


def _read_key(options: Any) -> str:
    path = options["--key-file"]
    if not path:
        key = os.environ.get("WAYSLIP_KEY", "")
        if key:
            return key
        raise errors.BadRequestError(
            "no key is given", "set WAYSLIP_KEY or use --key-file"
        )
    return _read(path).decode().strip()


def _read(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as e:
        raise errors.BadRequestError(
            f"{path}: {e.strerror}", "give a readable file"
        ) from e


def _choose_call(options: Any) -> tuple[str, str, bytes]:
    plan, instance = options["PLAN"], options["INSTANCE"]
    if options["apply"]:
        return "POST", "/v1/plans", _read(options["FILE"])
    if options["plan"]:
        return "GET", f"/v1/plans/{plan}", b""
    for action in ("confirm", "cancel"):
        if options[action]:
            return "POST", f"/v1/plans/{plan}/{action}", b""
    if options["dump"]:
        return "GET", f"/v1/instances/{instance}/dump", b""
    if options["drain"]:
        return "POST", f"/v1/instances/{instance}/drain", b""
    if options["suspects"]:
        return "GET", "/suspects", b""
    if options["lift"]:
        content = urllib.parse.quote(options["CONTENT"], safe="")
        return "POST", f"/suspects/lift?content={content}", b""
    for subject in ("plans", "status", "models", "endpoints"):
        if options[subject]:
            return "GET", f"/v1/{subject}", b""
    raise errors.BadRequestError("there is no such command", "see --help")


def _is_done(plan: Any) -> bool:
    progress = plan.get("progress", {})
    return progress.get("done") == progress.get("total")


def _wait(control: Control, plan: str, seconds: float, reply: Reply) -> Reply:
    limit = time.monotonic() + seconds
    while time.monotonic() < limit and not _is_done(reply.value):
        time.sleep(_POLL_SECONDS)
        reply = control.call("GET", f"/v1/plans/{plan}")
    return reply


# Printing


def _print(options: Any, reply: Reply) -> None:
    value = reply.value
    if reply.status >= 400:
        reason, remedy = value.get("reason"), value.get("remedy")
        text = f"{reason}; {remedy}" if remedy else str(reason)
        print(text, file=sys.stderr)
        return
    if options["plans"]:
        _print_table(
            ("PLAN", "STATE", "AUTHOR", "MOVES", "DONE", "ENDED BY"),
            [
                (
                    p["id"],
                    p["state"],
                    p["author"],
                    p["cost"]["moves"],
                    f"{p['progress']['done']}/{p['progress']['total']}",
                    p["ended_by"] or "-",
                )
                for p in value["plans"]
            ],
        )
    elif options["status"]:
        _print_status(value)
    elif options["models"]:
        _print_table(
            ("NAME", "MIB", "READY ON"),
            [
                (
                    m["name"],
                    f"{m['size'] / _MIB:.1f}",
                    ",".join(m["ready_on"]) or "-",
                )
                for m in value["models"]
            ],
        )
    elif options["endpoints"]:
        _print_table(
            ("NAME", "ROLE", "HALL", "PHASE", "LIVE", "CHARGED", "UNSETTLED"),
            [
                (
                    e["name"],
                    e["role"],
                    e["data_hall"],
                    e["phase"],
                    "yes" if e["is_live"] else "no",
                    _percent(e["charged"], e["capacity"]),
                    e["unsettled"],
                )
                for e in value["endpoints"]
            ],
        )
    elif options["suspects"]:
        _print_suspects(value["suspects"])
    elif options["lift"]:
        print(f"lifted {value['lifted']}")
    elif options["dump"] or options["drain"]:
        print(json.dumps(value, indent=1))
    else:
        _print_plan(value)


def _percent(part: int, whole: int) -> str:
    return f"{100 * part / whole:.0f}%" if whole else "-"


def _print_plan(plan: Any) -> None:
    cost, progress = plan["cost"], plan["progress"]
    print(f"plan {plan['id']}: {plan['state']}, by {plan['author']}")
    print(
        f"  moves {cost['moves']}, {cost['moved'] / _MIB:.1f} MiB,"
        f" {cost['seconds']} load seconds,"
        f" {100 * cost['store_share']:.0f}% of the weight store"
    )
    print(f"  steps done {progress['done']} of {progress['total']}")
    for step in plan["steps"]:
        print(
            f"  {step['action']:>6} {step['item']} on {step['engine']}"
            f" ({step['size'] / _MIB:.1f} MiB)"
        )
    for effect in plan["effects"]:
        print(f"  effect: {effect}")
    if plan["state"] == "proposed":
        print(f"  confirm it with: wayslipctl confirm {plan['id']}")


def _print_suspects(suspects: Any) -> None:
    rows = [
        (
            "*" if s["is_condemned"] else "",
            s["content"],
            s["depth"],
            ",".join(s["ends"]),
            f"{s['seconds_left']:.0f}",
            "part" if s.get("is_part") else "content",
        )
        for s in suspects
    ]
    _print_table(
        ("", "CONTENT", "DEPTH", "ENDED", "SECONDS LEFT", "KIND"), rows
    )


def _print_status(value: Any) -> None:
    print(f"configuration generation {value['generation']}")
    print(f"models {value['models']}, items {value['items']}")
    missing = ", ".join(value["not_resident"]) or "none"
    print(f"not resident: {missing}")
    print(f"object API last answered {value['object_api_age']} s ago")
    _print_table(
        ("MEMBER", "STATUS", "ADDRESS", "HALL"),
        [
            (m["name"], m["status"], m["address"], m["data_hall"])
            for m in value["members"]
        ],
    )


def _print_table(head: tuple[str, ...], rows: list[tuple]) -> None:
    table = [head, *[tuple(str(c) for c in row) for row in rows]]
    widths = [max(len(row[i]) for row in table) for i in range(len(head))]
    for row in table:
        cells = (c.ljust(w) for c, w in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


if __name__ == "__main__":
    main()
