"""Applied configuration, and changes of the engines' weight versions."""
