//! File descriptor limit of the process.

use eyre::{Result, WrapErr as _};

const DESCRIPTOR_LIMIT_TARGET: u64 = 65_536;

/// Raises the soft limit of open file descriptors to 65536, or to the hard limit if that is lower,
/// and returns the limit in force.
///
/// Each HTTP connection uses two file descriptors.
///
/// # Errors
///
/// Returns an error if the limit can't be read or set.
pub fn raise_descriptor_limit() -> Result<u64> {
    let (soft, _) = rlimit::Resource::NOFILE
        .get()
        .wrap_err("cannot read the limit of open file descriptors")?;
    if soft >= DESCRIPTOR_LIMIT_TARGET {
        return Ok(soft);
    }
    rlimit::increase_nofile_limit(DESCRIPTOR_LIMIT_TARGET)
        .wrap_err("cannot raise the limit of open file descriptors")
}
