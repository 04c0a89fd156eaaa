"""The command line: commands for those who operate the system. None of it is loaded by the daemons."""
