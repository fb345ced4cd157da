"""Experiments with played days: where worth is lost, and what a change is worth.

`losses` attributes the lost worth of a day, `account` prints that, `trials` plays days
on work trees, `pairs` compares two trees by pairs of days with the same seed, and
`ablation` plays days with policies switched off.
"""
