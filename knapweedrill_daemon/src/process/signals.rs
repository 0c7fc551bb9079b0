//! Signals that stop the process.

use std::process;
use std::thread;

use crossbeam::channel::Sender;
use eyre::WrapErr;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::control::ControlEvent;

/// The exit status after a second signal, which ends the process at once.
const EXIT_AT_ONCE: i32 = 1;

/// Turns the first signal into a planned stop and lets the second end the process.
pub(super) fn watch(events: Sender<ControlEvent>) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("can't watch for signals")?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for (index, _) in signals.forever().enumerate() {
                if index > 0 {
                    process::exit(EXIT_AT_ONCE);
                }
                let _ = events.send(ControlEvent::Stop);
            }
        })
        .wrap_err("can't start the thread that watches for signals")?;
    Ok(())
}
