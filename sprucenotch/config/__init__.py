"""The TOML form of a configuration file, schemas and listings. Reading the JSON form needs none of this."""
