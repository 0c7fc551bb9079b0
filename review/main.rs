//! Stand-ins of the platform, clients and minions for the cases of the review.

mod cases;
mod http;
mod json;
mod minion;
mod proxy;
mod record;
mod site;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use cases::Verdict;
use record::Record;

const USAGE: &str = "usage: site CASE FOLDER PROGRAM; TROUBLE=0 leaves the disruption out";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, program] = &arguments[..] else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&scratch) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let record = Record::new();
    let verdict = cases::run(case, &record, &scratch, &PathBuf::from(program), has_trouble);
    let (code, text) = match verdict {
        Ok(Verdict::Held(text)) => (0, format!("HELD: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("BROKEN: {text}")),
        Ok(Verdict::NotRun(text)) => (2, format!("NOT RUN: {text}")),
        Err(error) => (2, format!("NOT RUN: {error}")),
    };
    println!("{text}");
    let file = PathBuf::from(folder).join("record.txt");
    if let Err(error) = record.write(&file, &text) {
        eprintln!("the record can't be written: {error}");
    }
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    ExitCode::from(code)
}
