"""`python -m laurelspindle`."""

from laurelspindle.cli import main

if __name__ == "__main__":
    main()
