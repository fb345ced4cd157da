"""Takes endpoints out of use for reads whose statements fail or are slow.

`decisions` judges by what statements experienced, without state and clock. `rows` has
the results of the last seconds, `results` records them, and `judgement` ejects, probes
and returns endpoints.
"""
