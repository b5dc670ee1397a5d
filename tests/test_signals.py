"""Signals that come before the loop of a node or planner has handlers for them."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest

from tests.host import node_fields

LOADING = """
import runpy, signal, sys

class Told:
    def find_spec(self, name, path=None, target=None):
        if name == "onyxpost.process":
            signal.raise_signal(number)

sys.meta_path.insert(0, Told())
number = int(sys.argv.pop(1))
runpy.run_module("onyxpost", run_name="__main__", alter_sys=True)
"""


class BeforeTheLoop(unittest.TestCase):
    def test_while_its_code_is_still_being_loaded(self) -> None:
        for number, code in ((signal.SIGTERM, 0), (signal.SIGHUP, 2)):  # 2: there is no such file
            for args in (["serve"], ["plan", "/nowhere"]):
                with self.subTest(args, number=number):
                    told = [sys.executable, "-c", LOADING, str(int(number)), *args]
                    environ = {**os.environ, "EDGE_CONFIG": "/nowhere"}
                    ended = subprocess.run(told, env=environ, stderr=subprocess.DEVNULL)
                    self.assertEqual(ended.returncode, code)

    def test_a_sighup_before_there_is_a_handler_waits_for_it_and_the_file_is_read_again(self) -> None:
        """As where a roll restarts nodes and moves discovery: by then what was read may be old."""
        with tempfile.TemporaryDirectory() as folder:
            path, newer = os.path.join(folder, "node.json"), os.path.join(folder, "newer.json")
            os.mkfifo(path)
            with open(newer, "w") as file:
                json.dump(node_fields(discovery="127.0.0.1:2"), file)
            environ = {**os.environ, "EDGE_CONFIG": path}
            command, pipe = [sys.executable, "-m", "onyxpost", "serve"], subprocess.PIPE
            with subprocess.Popen(command, env=environ, stdout=pipe) as process:
                assert process.stdout is not None
                written = None
                while written is None and process.poll() is None:
                    with contextlib.suppress(OSError):  # not opened yet
                        written = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                assert written is not None
                os.replace(newer, path)
                process.send_signal(signal.SIGHUP)
                os.write(written, json.dumps(node_fields()).encode())
                os.close(written)
                lines = []
                for line in process.stdout:
                    lines.append(json.loads(line))
                    if lines[-1].get("phase") == "serving":
                        process.terminate()
                self.assertEqual(process.wait(), 0)
        self.assertIn("127.0.0.1:2", [line.get("discovery") for line in lines])
