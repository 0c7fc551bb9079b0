//! Addresses that the process listens on and advertises.

use std::net::SocketAddr;

use knapweedrill::ini::{IniProblemKind, IniReader};
use knapweedrill_derive::value;

/// Addresses that the process listens on and advertises, the section `[listen]`.
#[value]
pub struct ListenSettings {
    /// The address on which the HTTP server listens.
    pub http: SocketAddr,
    /// The address on which the process accepts links from its peers over TCP and receives
    /// heartbeats over UDP.
    pub link: SocketAddr,
    /// The address at which other processes reach the HTTP server, if it differs from `http`.
    pub http_advertised: Option<SocketAddr>,
    /// The address at which peers reach `link`, if it differs, for example behind NAT.
    pub link_advertised: Option<SocketAddr>,
}

impl ListenSettings {
    pub(super) fn read(reader: &mut IniReader) -> Option<Self> {
        let mut section = reader.section("listen");
        let http = section.address("http");
        let link = section.address("link");
        let http_advertised = section.optional_address("http_advertised");
        let link_advertised = section.optional_address("link_advertised");
        if http.is_some() && http == link {
            section.add_problem(
                "link",
                IniProblemKind::InvalidValue {
                    text: http.map(|address| address.to_string()).unwrap_or_default(),
                    allowed: "an address other than that of http".to_owned(),
                },
            );
        }
        section.finish();
        Some(Self {
            http: http?,
            link: link?,
            http_advertised,
            link_advertised,
        })
    }

    /// Returns the address at which other processes reach the HTTP server.
    pub fn reachable_http(&self) -> SocketAddr {
        self.http_advertised.unwrap_or(self.http)
    }

    /// Returns the address to which peers open links and send heartbeats.
    pub fn reachable_link(&self) -> SocketAddr {
        self.link_advertised.unwrap_or(self.link)
    }
}
