"""Reports of runs and experiments: tables on a terminal, plots and HTML pages."""
