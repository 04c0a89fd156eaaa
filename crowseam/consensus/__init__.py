"""Agreement on versions of the configuration: a log of slots, each decided by its own ballots.

Everything here is clock-free: times are float seconds of a steady clock and come in as parameters.
"""
