"""`python -m onyxpost`."""

import signal
import sys

if __name__ == "__main__":
    if sys.argv[1:2] in (["serve"], ["plan"]):  # before what takes long to load
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # until its loop has a handler
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    if sys.argv[1:] == ["serve"]:  # a node starts without the command line's library: its memory is small
        from onyxpost.edge.serve import serve

        sys.exit(serve())
    from onyxpost.cli import main

    main(prog_name="onyxpost")
