"""What a host's process writes outside of its own log lines."""

import contextlib
import json
import os
import subprocess
import sys

from magnoliaroad.logs.json_line import MAX_EXCEPTION_CHARS, MAX_TRACE_CHARS
from magnoliaroad.logs.log_stream import MAX_LINE_CHARS
from magnoliaroad.logs.standard_streams import set_non_blocking

LIMIT_S = 30
SETUP = """
import asyncio, faulthandler, gc, logging, os, sys, threading, warnings
from magnoliaroad.logs import open_missing_streams, setup_host_logs
from magnoliaroad.logs.settings import LogSettings

async def fail():
    raise ValueError("x" * 100_000)

async def fail_tasks(count):
    tasks = [asyncio.create_task(fail()) for _ in range(count)]
    await asyncio.wait(tasks)

open_missing_streams()
setup_host_logs(LogSettings(path="-"))
"""


def run_script(script, **options):
    options = {"stdout": subprocess.PIPE, "stderr": subprocess.PIPE, **options}
    return subprocess.run(
        [sys.executable, "-c", SETUP + script], timeout=LIMIT_S, **options
    )


def lines_of(script, status=0):
    """Returns the log lines of a script that writes nothing else."""
    done = run_script(script)
    assert (done.returncode, done.stderr) == (status, b"")
    return [json.loads(line) for line in done.stdout.splitlines()]


@contextlib.contextmanager
def unread_pipe():
    reader, writer = os.pipe()
    yield writer
    os.close(reader)
    os.close(writer)


def test_task_exceptions_become_bounded_lines():
    lines = lines_of("asyncio.run(fail_tasks(3)); gc.collect()")
    assert [line["event"] for line in lines] == ["library message"] * 3
    for line in lines:
        assert line["logger"] == "asyncio"
        assert line["message"].startswith("Task exception was never retrieved")
        assert len(line["exception"]) <= MAX_EXCEPTION_CHARS
        assert len(line["trace"]) <= MAX_TRACE_CHARS


def test_a_trace_names_the_place_of_the_error():
    (line,) = lines_of("""
def divide():
    return 1 / 0
try:
    divide()
except ZeroDivisionError:
    logging.getLogger("library").exception("failed %s", "here")
""")
    assert (line["level"], line["logger"]) == ("ERROR", "library")
    assert line["message"] == "failed here"
    assert "in divide" in line["trace"]


def test_a_burst_of_task_exceptions_does_not_wait_for_a_reader():
    with unread_pipe() as out, unread_pipe() as err:
        script = "asyncio.run(fail_tasks(1000)); gc.collect()"
        done = run_script(script, stdout=out, stderr=err)
    assert done.returncode == 0


def test_warnings_and_ignored_exceptions_become_lines():
    lines = lines_of("""
class Bad:
    def __del__(self):
        raise OSError("in a destructor")

warnings.warn("old")
Bad()
thread = threading.Thread(target=lambda: 1 / 0)
thread.start()
thread.join()
""")
    assert [(line["event"], line["level"]) for line in lines] == [
        ("library message", "WARNING"),
        ("exception ignored", "ERROR"),
        ("uncaught exception", "ERROR"),
    ]
    assert "UserWarning: old" in lines[0]["message"]


def test_an_uncaught_exception_becomes_a_line():
    (line,) = lines_of("asyncio.run(fail())", status=1)
    assert (line["event"], line["level"]) == ("uncaught exception", "CRITICAL")


def test_what_is_written_to_stderr_becomes_bounded_lines():
    lines = lines_of("""
print("one", 2, file=sys.stderr)
sys.stderr.write("y" * 100_000)
""")
    assert [line["event"] for line in lines] == ["standard error"] * 2
    assert [line["text"] for line in lines] == ["one 2", "y" * MAX_LINE_CHARS]


def test_a_message_with_wrong_arguments_is_reported_once():
    lines = lines_of('logging.getLogger("library").error("%d", "text")')
    assert {line["event"] for line in lines} == {"standard error"}
    assert any("--- Logging error ---" in line["text"] for line in lines)


def test_reports_of_the_interpreter_do_not_wait_for_a_reader():
    with unread_pipe() as err:
        script = "for _ in range(2000): faulthandler.dump_traceback(file=2)"
        done = run_script(script, stderr=err)
    assert done.returncode == 0


def test_a_closed_descriptor_is_not_given_to_another_file(tmp_path):
    path = tmp_path / "data"
    for descriptor in (1, 2):
        done = run_script(
            f"""
with open({str(path)!r}, "w"):
    logging.getLogger("library").error("failed")
    print("text", file=sys.stderr)
    faulthandler.dump_traceback(file=2)
""",
            preexec_fn=lambda closed=descriptor: os.close(closed),
        )
        assert done.returncode == 0
        assert path.read_bytes() == b""


def test_other_processes_with_the_same_pipe_keep_their_mode():
    with unread_pipe() as shared:
        own = os.dup(shared)
        set_non_blocking(own)
        assert (os.get_blocking(own), os.get_blocking(shared)) == (False, True)
        os.close(own)


def test_lines_that_wait_are_kept_when_the_logs_are_set_up_again():
    reader, writer = os.pipe()
    proc = subprocess.Popen(
        [
            sys.executable,
            "-c",
            SETUP
            + """
for number in range(2000):
    logging.getLogger("library").error("%d", number)
setup_host_logs(LogSettings(path="-"))
sys.stdin.read()
logging.getLogger("library").error("last")
""",
        ],
        stdin=subprocess.PIPE,
        stdout=writer,
        stderr=subprocess.PIPE,
    )
    os.close(writer)
    with open(reader, "rb", buffering=0) as out:
        read = b""
        while len(read) < 65_536:
            read += out.read(65_536)
        _, errors = proc.communicate(b"", timeout=LIMIT_S)
        while part := out.read(65_536):
            read += part
    assert (proc.returncode, errors) == (0, b"")
    whole = read.splitlines(keepends=True)[:-1]
    messages = [json.loads(line)["message"] for line in whole]
    assert messages == [str(number) for number in range(len(messages))]
    assert len(messages) > 65_536 // len(max(whole, key=len))
