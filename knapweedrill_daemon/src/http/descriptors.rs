//! The descriptor limit of the process.

use eyre::{Result, WrapErr as _};

const DESCRIPTORS_WANTED_COUNT: u64 = 65_536;

/// Raises the soft limit of open descriptors as far as the hard limit allows, and returns it.
///
/// Every HTTP connection takes two descriptors.
///
/// # Errors
///
/// Returns an error if the system refuses to tell or set the limit.
pub fn raise_descriptor_limit() -> Result<u64> {
    let (soft, _) = rlimit::Resource::NOFILE
        .get()
        .wrap_err("cannot read the limit of open descriptors")?;
    if soft >= DESCRIPTORS_WANTED_COUNT {
        return Ok(soft);
    }
    rlimit::increase_nofile_limit(DESCRIPTORS_WANTED_COUNT)
        .wrap_err("cannot raise the limit of open descriptors")
}
