//! Handling of termination signals.

use std::process;
use std::thread;

use crossbeam::channel::Sender;
use eyre::WrapErr;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::control::ControlEvent;

/// Exit status after a second termination signal.
const EXIT_FORCED: i32 = 1;

/// Starts the thread that handles SIGTERM and SIGINT.
///
/// The first signal requests a graceful shutdown, the second ends the process at once.
pub(super) fn watch(events: Sender<ControlEvent>) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .wrap_err("can't install the handlers of SIGTERM and SIGINT")?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for (index, _) in signals.forever().enumerate() {
                if index > 0 {
                    process::exit(EXIT_FORCED);
                }
                let _ = events.send(ControlEvent::Stop);
            }
        })
        .wrap_err("can't start the signal handling thread")?;
    Ok(())
}
