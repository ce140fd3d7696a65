"""What lives for one version of weights or configuration."""
