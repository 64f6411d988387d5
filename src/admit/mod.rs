//! Admission at an upstream's own node: slots, connections and a short queue.
