"""What lives for a version of the settings: schema, inheritance, acceptance."""
