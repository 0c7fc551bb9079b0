//! Failure domains: parts of the platform that fail together.

/// The name of a failure domain.
pub type FailureDomainName = String;
