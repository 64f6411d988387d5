//! Types at the border, generated from the schemas and committed.
