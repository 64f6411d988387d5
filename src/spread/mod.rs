//! Distribution of accepted configurations among the nodes.
