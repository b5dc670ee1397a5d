"""The host process of the simulator, `python -m onyxpost.simulator_host`.

Reads one JSON message per line from standard input, a time with a batch of events, and writes one JSON reply
per line to standard output.
"""

import sys

import msgspec

from onyxpost.simulator_host.errors import WireError
from onyxpost.simulator_host.host import Host


def main() -> int:
    """Replies to each line until standard input ends or a line is malformed; returns the exit code."""
    host = Host()
    out = sys.stdout.buffer
    for line in sys.stdin.buffer:
        try:
            reply = host.handle_message(msgspec.json.decode(line))
        except (msgspec.DecodeError, WireError) as err:
            error = err if isinstance(err, WireError) else WireError(str(err))
            print(f"onyxpost.simulator_host: malformed line: {error.to_line()}", file=sys.stderr)
            return 2
        out.write(msgspec.json.encode(reply) + b"\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
