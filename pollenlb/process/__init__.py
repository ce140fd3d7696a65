"""Objects that live as long as one entry or control process."""
