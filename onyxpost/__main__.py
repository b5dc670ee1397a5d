"""Entry point of `python -m onyxpost`."""

import signal
import sys

LONG_RUNNING_COMMANDS = ("serve", "plan")


def main() -> None:
    """Runs the command line.

    `serve` runs without importing the command-line library, which would increase the memory use of a node.
    """
    if sys.argv[1:2] and sys.argv[1] in LONG_RUNNING_COMMANDS:
        # Signals are handled before the other modules are imported, which takes long. A SIGHUP stays pending
        # until the event loop has its handler.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    if sys.argv[1:] == ["serve"]:
        # A node uses no TLS, and asyncio runs without this module, whose libraries take 4.5 MB.
        sys.modules["ssl"] = None  # type: ignore[assignment]
        from onyxpost.node.serve import serve

        sys.exit(serve())
    from onyxpost import cli

    cli.main(prog_name="onyxpost")


if __name__ == "__main__":
    main()
