//! Experiments on stragglers, staleness and weight waves.
