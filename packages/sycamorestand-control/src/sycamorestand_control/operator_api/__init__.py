"""The operators' HTTP interface of the control process."""
