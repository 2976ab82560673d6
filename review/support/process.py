"""Starts a case's processes, writes its record and ends all of its processes."""
import ctypes
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PR_SET_PDEATHSIG = 1


class NotRun(Exception):
    """The case can't run; it says nothing about the rule."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def _end_with_parent():
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Case:
    """A temporary folder, the record and the processes of one run."""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.began = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w", buffering=1, encoding="utf-8")
        self.processes = []
        self.note("TROUBLE=%d" % TROUBLE)

    def note(self, text):
        line = "%8.3f %s" % (time.monotonic() - self.began, text)
        self.record.write(line + "\n")
        print(line, flush=True)

    def file(self, name, text=None):
        path = os.path.join(self.folder, name)
        if text is not None:
            with open(path + ".new", "w", encoding="utf-8") as out:
                out.write(text)
            os.rename(path + ".new", path)
        return path

    def start(self, name, command, **options):
        """Starts a process; a text is run by /bin/sh from the project's root, as `run` is."""
        if isinstance(command, str):
            command = ["/bin/sh", "-c", command]
        log = open(self.file(name + ".log"), "a", encoding="utf-8")
        process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                                   stderr=log, preexec_fn=_end_with_parent, **options)
        log.close()
        self.processes.append(process)
        self.note("started %s, process %d" % (name, process.pid))
        return process

    def kill(self, name, process):
        process.kill()
        process.wait()
        self.note("killed %s, process %d" % (name, process.pid))

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".log"):
                with open(self.file(name), encoding="utf-8", errors="replace") as log:
                    self.record.write("\n--- %s\n%s" % (name, log.read()))
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run(folder, body, limit):
    """Runs `body(case)`, which returns HELD or BROKEN, for `limit` seconds at most."""
    case = Case(folder)
    code = NOT_RUN

    def expired(number, _):
        raise NotRun("ended by signal %d" % number)

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, expired)
    signal.alarm(limit)
    try:
        code = body(case)
        case.note({HELD: "the rule held", BROKEN: "THE RULE IS BROKEN"}[code])
    except Exception as error:  # a fault of the test itself says nothing of the rule
        case.note("not run: %s: %s" % (type(error).__name__, error))
    finally:
        signal.alarm(0)
        case.close()
    sys.exit(code)


def wait_for(what, attempt, limit=10.0, pause=0.02):
    """Calls `attempt` until it returns something without an OSError."""
    end = time.monotonic() + limit
    while True:
        try:
            return attempt()
        except OSError as error:
            if time.monotonic() > end:
                raise NotRun("%s: %s" % (what, error)) from error
        time.sleep(pause)


def require_program(name):
    path = os.path.join(ROOT, "build", name)
    if not os.access(path, os.X_OK):
        raise NotRun("build/%s is missing: run the deploy file's build and review/build.sh" % name)
