"""The subcommands of the operators' program, one module each."""
