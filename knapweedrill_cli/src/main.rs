//! The command-line tool `knapweedrill`.

fn main() {}
