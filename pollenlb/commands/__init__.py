"""The commands of the three programs, one module for each command or group."""
