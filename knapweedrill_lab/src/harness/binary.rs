//! Finds the programs to start.

use std::env;
use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr, eyre};

/// Names the directory of the programs, if they do not lie next to the current one.
const DIRECTORY_VARIABLE: &str = "KNAPWEEDRILL_BIN_DIR";

/// Finds a program of the workspace by name.
///
/// Looks in the directory that `KNAPWEEDRILL_BIN_DIR` names, or else next to the current
/// program and one directory above it, where cargo puts programs beside its tests.
///
/// # Errors
///
/// Returns an error if no such program has been built.
pub fn find_binary(name: &str) -> Result<PathBuf> {
    let candidates = match env::var_os(DIRECTORY_VARIABLE) {
        Some(directory) => vec![PathBuf::from(directory).join(name)],
        None => beside_current(name)?,
    };
    candidates
        .into_iter()
        .find(|path| path.is_file())
        .ok_or_else(|| eyre!("{name} is not built; run 'cargo build --workspace' first"))
}

fn beside_current(name: &str) -> Result<Vec<PathBuf>> {
    let current = env::current_exe().wrap_err("the current program has no path")?;
    let directories = current.ancestors().skip(1).take(2);
    Ok(directories
        .map(|directory: &Path| directory.join(name))
        .collect())
}
