//! Experiments on choice of endpoint, limits, retries and crash suspects.
