//! Lookup of the workspace's binaries.

use std::env;
use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr, eyre};

/// Environment variable with the directory of the binaries.
const BIN_DIR_VARIABLE: &str = "KNAPWEEDRILL_BIN_DIR";

/// Returns the path of a binary of the workspace.
///
/// Searches the directory in `KNAPWEEDRILL_BIN_DIR` if the variable is set. Otherwise searches the
/// directory of the current executable and its parent: cargo builds tests into `deps/`, one level
/// below the binaries.
///
/// # Errors
///
/// Returns an error if the binary has not been built.
pub fn find_binary(name: &str) -> Result<PathBuf> {
    let candidates = match env::var_os(BIN_DIR_VARIABLE) {
        Some(directory) => vec![PathBuf::from(directory).join(name)],
        None => paths_near_current_exe(name)?,
    };
    candidates
        .into_iter()
        .find(|path| path.is_file())
        .ok_or_else(|| eyre!("{name} is not built; run 'cargo build --workspace' first"))
}

fn paths_near_current_exe(name: &str) -> Result<Vec<PathBuf>> {
    let current =
        env::current_exe().wrap_err("can't determine the path of the current executable")?;
    let directories = current.ancestors().skip(1).take(2);
    Ok(directories
        .map(|directory: &Path| directory.join(name))
        .collect())
}
