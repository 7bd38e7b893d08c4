"""Second attempts for requests that take longer than usual."""
