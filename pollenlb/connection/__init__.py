"""What lives for one connection to a peer."""
