//! The subcommand `load`.

use std::time::Duration;

use eyre::{Result, bail, ensure, eyre};
use knapweedrill::entry::PlacementPolicy;
use knapweedrill_lab::load::{self, LoadOptions, Scenario, policy_from_name, policy_name};
use lexopt::{Arg, ValueExt};

const ALL_POLICIES: &str = "all";

#[derive(Debug, Default)]
struct Arguments {
    scenario: Option<Scenario>,
    seed: Option<u64>,
    policies: Vec<PlacementPolicy>,
    duration: Option<Duration>,
    hint_sigma: Option<f64>,
    is_json: bool,
}

/// Runs a scenario under each requested policy and prints the measurements.
///
/// # Errors
///
/// Returns an error if the arguments are wrong, a run fails or the checker finds violations.
pub(super) fn run(parser: lexopt::Parser) -> Result<()> {
    let arguments = parse(parser)?;
    let mut is_clean = true;
    for options in arguments.options()? {
        let report = load::run(&options)?;
        is_clean &= report.violations.is_empty();
        if arguments.is_json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            print!("{report}");
        }
    }
    ensure!(is_clean, "the checker found violations");
    Ok(())
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("scenario") => {
                arguments.scenario = Some(parser.value()?.string()?.parse()?);
            }
            Arg::Long("seed") => arguments.seed = Some(parser.value()?.parse()?),
            Arg::Long("policy") => arguments.policies = policies(&parser.value()?.string()?)?,
            Arg::Long("seconds") => {
                arguments.duration = Some(Duration::from_secs(parser.value()?.parse()?));
            }
            Arg::Long("hint-sigma") => arguments.hint_sigma = Some(parser.value()?.parse()?),
            Arg::Long("json") => arguments.is_json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

fn policies(name: &str) -> Result<Vec<PlacementPolicy>> {
    if name == ALL_POLICIES {
        return Ok(PlacementPolicy::ALL.to_vec());
    }
    match policy_from_name(name) {
        Some(policy) => Ok(vec![policy]),
        None => {
            let names: Vec<&str> = PlacementPolicy::ALL.into_iter().map(policy_name).collect();
            bail!(
                "unknown policy {name:?}; expected one of {}, all",
                names.join(", ")
            )
        }
    }
}

impl Arguments {
    fn options(&self) -> Result<Vec<LoadOptions>> {
        let scenario = self
            .scenario
            .ok_or_else(|| eyre!("--scenario NAME is missing"))?;
        let seed = self.seed.ok_or_else(|| eyre!("--seed N is missing"))?;
        let mut options = LoadOptions::new(scenario, seed);
        if let Some(duration) = self.duration {
            options = options.duration(duration);
        }
        if let Some(sigma) = self.hint_sigma {
            options = options.hint_sigma(sigma);
        }
        if self.policies.is_empty() {
            return Ok(vec![options]);
        }
        let policies = self.policies.iter();
        Ok(policies
            .map(|policy| options.clone().policy(*policy))
            .collect())
    }
}
