//! Stand-ins, load tool and failure tests for knapweedrill.

fn main() {}
