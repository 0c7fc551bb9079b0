//! The subcommand `minion`.

use std::net::SocketAddr;

use eyre::{Result, WrapErr, ensure, eyre};
use knapweedrill_lab::stand_in::minion::{MinionOptions, MinionStandIn};
use lexopt::{Arg, ValueExt};

use super::termination_signals::TerminationSignals;

#[derive(Debug, Default)]
struct Arguments {
    listen: Option<SocketAddr>,
    sidecar: Option<SocketAddr>,
    service: Option<String>,
    slots: Option<u32>,
    speed_percent: Option<u32>,
    advertised: Option<SocketAddr>,
}

/// Serves as a minion until the process gets SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if the arguments are wrong or the address can't be bound.
pub(super) fn run(parser: lexopt::Parser) -> Result<()> {
    let options = parse(parser)?.into_options()?;
    let termination = TerminationSignals::register()?;
    let _minion = MinionStandIn::start(options).wrap_err("can't start the minion stand-in")?;
    termination.wait();
    Ok(())
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("listen") => arguments.listen = Some(parser.value()?.parse()?),
            Arg::Long("sidecar") => arguments.sidecar = Some(parser.value()?.parse()?),
            Arg::Long("service") => arguments.service = Some(parser.value()?.string()?),
            Arg::Long("slots") => arguments.slots = Some(parser.value()?.parse()?),
            Arg::Long("speed-percent") => arguments.speed_percent = Some(parser.value()?.parse()?),
            Arg::Long("advertised") => arguments.advertised = Some(parser.value()?.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

impl Arguments {
    fn into_options(self) -> Result<MinionOptions> {
        let listen = self
            .listen
            .ok_or_else(|| eyre!("--listen ADDRESS is missing"))?;
        let sidecar = self
            .sidecar
            .ok_or_else(|| eyre!("--sidecar ADDRESS is missing"))?;
        let service = self
            .service
            .ok_or_else(|| eyre!("--service NAME is missing"))?;
        let mut options = MinionOptions::new(listen, sidecar, service);
        if let Some(slots) = self.slots {
            options = options.slots(slots);
        }
        if let Some(speed_percent) = self.speed_percent {
            ensure!(speed_percent > 0, "--speed-percent must be above 0");
            options = options.speed_percent(speed_percent);
        }
        if let Some(advertised) = self.advertised {
            options = options.advertised(advertised);
        }
        Ok(options)
    }
}
