"""Measures the marginal cost of links, streams, tokens and other units."""
