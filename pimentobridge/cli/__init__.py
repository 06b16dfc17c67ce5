"""The `pimentobridge` command line."""
