"""`python -m onyxpost`."""

import sys

if __name__ == "__main__":
    if sys.argv[1:] == ["serve"]:  # a node starts without the command line's library: its memory is small
        from onyxpost.edge.serve import serve

        sys.exit(serve())
    from onyxpost.cli import main

    main(prog_name="onyxpost")
