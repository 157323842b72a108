"""The entry point of `python -m workbench`."""

from workbench.cli import main

if __name__ == "__main__":
    main()
