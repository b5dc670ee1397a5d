"""`python -m onyxpost`."""

import signal
import sys

LONG_RUNNING_COMMANDS = ("serve", "plan")


def main() -> None:
    """Runs the command line; `serve` alone without its library, which would cost a node memory."""
    if sys.argv[1:2] and sys.argv[1] in LONG_RUNNING_COMMANDS:
        # Before the rest is imported, which takes long. SIGHUP waits for the handler of the event loop.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    if sys.argv[1:] == ["serve"]:
        from onyxpost.node.serve import serve

        sys.exit(serve())
    from onyxpost import cli

    cli.main(prog_name="onyxpost")


if __name__ == "__main__":
    main()
