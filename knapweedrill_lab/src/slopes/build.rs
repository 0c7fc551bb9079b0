//! How the programs of a run were built.

use knapweedrill_derive::message;

/// How the programs of a run were built.
#[message]
#[derive(Copy)]
#[serde(rename_all = "kebab-case")]
pub enum Build {
    /// The development profile.
    Dev,
    /// The release profile.
    Release,
}

impl Build {
    /// Returns the build of this program, beside which the daemons are looked for.
    pub fn current() -> Self {
        if cfg!(debug_assertions) {
            Self::Dev
        } else {
            Self::Release
        }
    }

    /// Returns a sentence on the build of the measured daemons.
    pub fn sentence(self) -> &'static str {
        match self {
            Self::Dev => "The daemons were dev builds, without the optimisations of a release.",
            Self::Release => "The daemons were release builds.",
        }
    }
}
