"""Takes the endpoints of an evacuated data centre out of use within a bound."""
