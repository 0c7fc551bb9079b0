//! Runs the scripts of the cases: `stand-ins CASE RECORD`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod cases;
mod http;
mod json;
mod minion;
mod record;
mod site;
mod store;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use record::Record;

/// The longest time that a script may take.
const TIME_MAX: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    thread::spawn(|| {
        thread::sleep(TIME_MAX);
        eprintln!("the case could not run: it took too long");
        site::kill_started();
        std::process::exit(2);
    });
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = Record::create(record).and_then(|record| {
        record.note(&format!("case {case}, trouble {has_trouble}"));
        let held = cases::run(case, has_trouble, &record)?;
        record.note(if held { "the rule held" } else { "the rule was broken" });
        Ok(held)
    });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
