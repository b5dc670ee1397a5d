"""`python -m onyxpost.simhost`: one batch a line on standard input, one reply a line on standard output."""

import sys

import msgspec

from onyxpost.simhost.host import Host, WireError


def main() -> int:
    host = Host()
    out = sys.stdout.buffer
    for line in sys.stdin.buffer:
        try:
            reply = host.batch(msgspec.json.decode(line))
        except (msgspec.DecodeError, WireError) as err:
            print(f"onyxpost.simhost: malformed line: {err}", file=sys.stderr)
            return 2
        out.write(msgspec.json.encode(reply) + b"\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
