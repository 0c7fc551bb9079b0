//! The subcommand `log`.

use std::net::SocketAddr;

use eyre::{Result, WrapErr, eyre};
use knapweedrill_lab::stand_in::log::LogStandIn;
use lexopt::{Arg, ValueExt};

use super::termination_signals::TerminationSignals;

const DEFAULT_RETENTION_RECORDS: usize = 100_000;

/// Serves an append-only log until the process gets SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if the arguments are wrong or the address can't be bound.
pub(super) fn run(mut parser: lexopt::Parser) -> Result<()> {
    let mut listen: Option<SocketAddr> = None;
    let mut retention_records = DEFAULT_RETENTION_RECORDS;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("listen") => listen = Some(parser.value()?.parse()?),
            Arg::Long("retention-records") => retention_records = parser.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let listen = listen.ok_or_else(|| eyre!("--listen ADDRESS is missing"))?;
    let termination = TerminationSignals::register()?;
    let _log = LogStandIn::start(listen, retention_records)
        .wrap_err_with(|| format!("can't serve the log on {listen}"))?;
    termination.wait();
    Ok(())
}
