//! Service-level objectives: burn rates and the budget left.
