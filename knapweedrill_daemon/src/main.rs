//! The daemon `knapweedrilld`.

fn main() {}
