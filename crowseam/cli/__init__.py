"""The operator's command line. The daemons load none of it."""
