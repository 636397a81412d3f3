"""What lives for a gateway process, by what is decided."""
