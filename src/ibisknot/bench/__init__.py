"""The load and experiment tool: fleets, scenarios, checkers and reports."""
