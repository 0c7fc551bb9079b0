//! The subcommand `slopes`.

use std::fs;
use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr, ensure, eyre};
use knapweedrill_lab::slopes::capacity::{CapacityPage, Section};
use knapweedrill_lab::slopes::{Scale, SlopesReport, measure};
use lexopt::{Arg, ValueExt};

/// What the arguments ask for.
struct Options {
    scale: Scale,
    is_json: bool,
    from: Option<PathBuf>,
    page: Option<PathBuf>,
    note: Option<String>,
}

/// Measures how the cost of a daemon grows, and prints the slopes.
///
/// Slopes that were measured before are read instead if a file is named. With a page, its worked
/// figures are written anew.
///
/// # Errors
///
/// Returns an error if the arguments are wrong, nothing can be measured, or the page or the
/// measured slopes lack a part.
pub(super) fn run(parser: lexopt::Parser) -> Result<()> {
    let options = Options::parse(parser)?;
    if let Some(page) = &options.page {
        check_markers(page)?;
    }
    let report = match &options.from {
        Some(path) => read(path)?,
        None => measure(&options.scale)?,
    };
    if options.is_json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    match (&options.page, options.note) {
        (Some(page), Some(note)) => rewrite(page, &report, note),
        _ => Ok(()),
    }
}

impl Options {
    fn parse(mut parser: lexopt::Parser) -> Result<Self> {
        let mut options = Self {
            scale: Scale::full(),
            is_json: false,
            from: None,
            page: None,
            note: None,
        };
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("json") => options.is_json = true,
                Arg::Long("quick") => options.scale = Scale::quick(),
                Arg::Long("from") => options.from = Some(parser.value()?.into()),
                Arg::Long("page") => options.page = Some(parser.value()?.into()),
                Arg::Long("note") => options.note = Some(parser.value()?.string()?),
                other => return Err(other.unexpected().into()),
            }
        }
        ensure!(
            options.page.is_some() == options.note.is_some(),
            "--page and --note go together; the note tells the state of the machine"
        );
        Ok(options)
    }
}

fn read(path: &Path) -> Result<SlopesReport> {
    let text = fs::read_to_string(path).wrap_err_with(|| cannot("read", path))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{} does not hold slopes", path.display()))
}

/// Finds a wrong page before the long measurement.
fn check_markers(path: &Path) -> Result<()> {
    let page = fs::read_to_string(path).wrap_err_with(|| cannot("read", path))?;
    for section in Section::ALL {
        section.replace(&page, "")?;
    }
    Ok(())
}

fn rewrite(path: &Path, report: &SlopesReport, note: String) -> Result<()> {
    let page = fs::read_to_string(path).wrap_err_with(|| cannot("read", path))?;
    let page = CapacityPage::new(report, note)?
        .rewrite(&page)
        .map_err(|error| eyre!("{}: {error}", path.display()))?;
    fs::write(path, page).wrap_err_with(|| cannot("write", path))
}

fn cannot(act: &str, path: &Path) -> String {
    format!("can't {act} {}", path.display())
}
