"""The operators' HTTP API of the control process."""
